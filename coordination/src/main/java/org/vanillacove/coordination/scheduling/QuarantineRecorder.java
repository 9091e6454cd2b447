package org.vanillacove.coordination.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanillacove.coordination.stream.SerialExecutor;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.Placer;
import org.vanillacove.state.api.WorkerHealth;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.cell.CellState;
import org.vanillacove.state.cell.WorkerState;

/**
 * Records the quarantines decided by the placer, so that operators see them and later leaders
 * restore them. All methods run on the scheduler's shard.
 */
final class QuarantineRecorder {
  /** Prefix of the reason of a quarantine that the placer decided. */
  private static final String QUARANTINE_PREFIX = "automatic: ";

  /** Prefix of the reason of an active worker that is on probation after a quarantine. */
  private static final String PROBATION_PREFIX = "on probation: ";

  /** Reason of a worker that has passed its probation. */
  private static final String PROBATION_PASSED = "probation passed";

  /** Services and settings used by the leader. */
  private final LeaderContext context;

  /** Executor on which all code of the term runs. */
  private final SerialExecutor shard;

  /** Leadership epoch of the term. */
  private final long epoch;

  /** Decides which workers are quarantined or on probation. */
  private final Placer placer;

  /** Workers with a status record that has not been applied yet. */
  private final Set<String> outstanding = new HashSet<>();

  QuarantineRecorder(LeaderContext context, SerialExecutor shard, long epoch, Placer placer) {
    this.context = context;
    this.shard = shard;
    this.epoch = epoch;
    this.placer = placer;
  }

  /** Passes the quarantines recorded by former leaders to the placer. */
  void restoreRecorded(CellState state, long nowMillis) {
    for (WorkerState worker : state.workers()) {
      recordedHealth(worker).ifPresent(health -> placer.restoreHealth(health, nowMillis));
    }
  }

  /**
   * Handles an applied status; a worker activated by an operator is trusted despite its failures.
   */
  void recordApplied(CellRecord.WorkerChanged changed) {
    boolean automatic =
        changed.reason().startsWith(PROBATION_PREFIX) || changed.reason().equals(PROBATION_PASSED);
    if (changed.status() == WorkerStatus.ACTIVE && !automatic) {
      placer.clearFailures(changed.workerId());
    }
  }

  /** Records the decisions that the placer made since the last call. */
  void recordDecisions() {
    Map<String, WorkerHealth> decided = new HashMap<>();
    placer.unhealthyWorkers().forEach(health -> decided.put(health.workerId(), health));
    List<CellRecord.WorkerChanged> changes =
        context.store().read(state -> changesToRecord(state, decided));
    changes.forEach(this::write);
  }

  private List<CellRecord.WorkerChanged> changesToRecord(
      CellState state, Map<String, WorkerHealth> decided) {
    List<CellRecord.WorkerChanged> changes = new ArrayList<>();
    for (WorkerState worker : state.workers()) {
      Optional<WorkerHealth> decidedHealth = Optional.ofNullable(decided.get(worker.spec().id()));
      boolean setByLeader =
          worker.status() == WorkerStatus.ACTIVE || recordedHealth(worker).isPresent();
      if (setByLeader
          && !decidedHealth.equals(recordedHealth(worker))
          && !outstanding.contains(worker.spec().id())) {
        changes.add(change(worker.spec().id(), decidedHealth));
      }
    }
    return changes;
  }

  private static CellRecord.WorkerChanged change(String id, Optional<WorkerHealth> decidedHealth) {
    if (decidedHealth.isEmpty()) {
      return new CellRecord.WorkerChanged(id, WorkerStatus.ACTIVE, PROBATION_PASSED);
    }
    String reason = decidedHealth.get().reason();
    return decidedHealth.get().phase() == WorkerHealth.Phase.QUARANTINED
        ? new CellRecord.WorkerChanged(id, WorkerStatus.QUARANTINED, QUARANTINE_PREFIX + reason)
        : new CellRecord.WorkerChanged(id, WorkerStatus.ACTIVE, PROBATION_PREFIX + reason);
  }

  /** Returns the recorded health, empty if the worker is trusted or an operator set its status. */
  private static Optional<WorkerHealth> recordedHealth(WorkerState worker) {
    String id = worker.spec().id();
    String reason = worker.reason();
    if (worker.status() == WorkerStatus.QUARANTINED && reason.startsWith(QUARANTINE_PREFIX)) {
      String rest = reason.substring(QUARANTINE_PREFIX.length());
      return Optional.of(new WorkerHealth(id, WorkerHealth.Phase.QUARANTINED, rest));
    }
    if (worker.status() == WorkerStatus.ACTIVE && reason.startsWith(PROBATION_PREFIX)) {
      String rest = reason.substring(PROBATION_PREFIX.length());
      return Optional.of(new WorkerHealth(id, WorkerHealth.Phase.ON_PROBATION, rest));
    }
    return Optional.empty();
  }

  private void write(CellRecord.WorkerChanged change) {
    outstanding.add(change.workerId());
    context.timeline().record("worker-health", change.workerId(), change.reason());
    context
        .writer()
        .write(epoch, change)
        .thenAccept(result -> shard.execute(() -> outstanding.remove(change.workerId())));
  }
}

package org.vanillacove.coordination.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanillacove.coordination.stream.EventShard;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.Placer;
import org.vanillacove.state.api.WorkerHealth;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.cell.CellState;
import org.vanillacove.state.cell.WorkerState;

/**
 * Records the quarantines that the placer decides, so that operators and later leaders know them.
 * All methods run on the scheduler's shard.
 */
final class QuarantineRecorder {
  /** Begins the reason of a quarantine that no operator asked for. */
  private static final String QUARANTINE = "automatic: ";

  /** Begins the reason of an active worker that is tried again. */
  private static final String PROBATION = "on probation: ";

  /** Reason of a worker that is trusted again. */
  private static final String PASSED = "probation passed";

  /** Parts that the work rests on. */
  private final LeaderContext context;

  /** Serialises the term. */
  private final EventShard shard;

  /** Epoch of the term. */
  private final long epoch;

  /** Decides quarantines. */
  private final Placer placer;

  /** Workers whose record is under way. */
  private final Set<String> outstanding = new HashSet<>();

  QuarantineRecorder(LeaderContext context, EventShard shard, long epoch, Placer placer) {
    this.context = context;
    this.shard = shard;
    this.epoch = epoch;
    this.placer = placer;
  }

  /** Takes over what a former leader recorded. */
  void load(CellState state, long nowMillis) {
    for (WorkerState worker : state.workers()) {
      recorded(worker).ifPresent(health -> placer.restoreHealth(health, nowMillis));
    }
  }

  /** Takes note of a status that was folded; an operator's word counts more than failures. */
  void folded(CellRecord.WorkerChanged changed) {
    boolean automatic = changed.reason().startsWith(PROBATION) || changed.reason().equals(PASSED);
    if (changed.status() == WorkerStatus.ACTIVE && !automatic) {
      placer.trust(changed.workerId());
    }
  }

  /** Records what the placer decided since the last call. */
  void tick() {
    Map<String, WorkerHealth> decided = new HashMap<>();
    placer.unhealthyWorkers().forEach(health -> decided.put(health.workerId(), health));
    List<CellRecord.WorkerChanged> changes = context.store().read(state -> changes(state, decided));
    changes.forEach(this::write);
  }

  private List<CellRecord.WorkerChanged> changes(
      CellState state, Map<String, WorkerHealth> decided) {
    List<CellRecord.WorkerChanged> changes = new ArrayList<>();
    for (WorkerState worker : state.workers()) {
      Optional<WorkerHealth> wanted = Optional.ofNullable(decided.get(worker.spec().id()));
      boolean ours = worker.status() == WorkerStatus.ACTIVE || recorded(worker).isPresent();
      if (ours && !wanted.equals(recorded(worker)) && !outstanding.contains(worker.spec().id())) {
        changes.add(change(worker.spec().id(), wanted));
      }
    }
    return changes;
  }

  private static CellRecord.WorkerChanged change(String id, Optional<WorkerHealth> wanted) {
    if (wanted.isEmpty()) {
      return new CellRecord.WorkerChanged(id, WorkerStatus.ACTIVE, PASSED);
    }
    String reason = wanted.get().reason();
    return wanted.get().phase() == WorkerHealth.Phase.QUARANTINED
        ? new CellRecord.WorkerChanged(id, WorkerStatus.QUARANTINED, QUARANTINE + reason)
        : new CellRecord.WorkerChanged(id, WorkerStatus.ACTIVE, PROBATION + reason);
  }

  /** Returns what the folded state says, empty if the worker is trusted or an operator decided. */
  private static Optional<WorkerHealth> recorded(WorkerState worker) {
    String id = worker.spec().id();
    String reason = worker.reason();
    if (worker.status() == WorkerStatus.QUARANTINED && reason.startsWith(QUARANTINE)) {
      String rest = reason.substring(QUARANTINE.length());
      return Optional.of(new WorkerHealth(id, WorkerHealth.Phase.QUARANTINED, rest));
    }
    if (worker.status() == WorkerStatus.ACTIVE && reason.startsWith(PROBATION)) {
      String rest = reason.substring(PROBATION.length());
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

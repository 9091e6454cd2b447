package org.vanillacove.coordination.scheduling;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import org.vanillacove.coordination.stream.SerialExecutor;
import org.vanillacove.protocol.generated.SessionReportMessage;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.PlacementDecision;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WaitReason;
import org.vanillacove.state.cell.CellState;

/**
 * One leadership term of this host: decides starts, sends commands to workers and records their
 * outcomes. All methods run on the scheduler's shard.
 */
final class LeaderTerm {
  /** Maximum number of placement decisions per call. */
  private static final int MAX_DECISIONS = 64;

  /** Logger. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Services and settings used by the leader. */
  private final LeaderContext context;

  /** State shared by the classes of the term. */
  private final TermState term;

  /** Fences and suspends workers and publishes session plans. */
  private final WorkerMonitor workerMonitor;

  /** Applies joins, status changes and losses of workers. */
  private final WorkerChangeHandler workerChanges;

  /** Sends stop commands. */
  private final TaskStopper stopper;

  /** Starts placed tasks on their workers. */
  private final TaskStarter starter;

  /** Compares the attempts reported by workers with those that should run. */
  private final InventoryReconciler inventoryReconciler;

  /** Records the quarantines decided by the placer. */
  private final QuarantineRecorder quarantines;

  /** Adds applied records to the timeline. */
  private final TimelineEventWriter timelineEvents;

  /** Offset of the first record that was not in the state from which the term was loaded. */
  private final long nextOffset;

  /** Whether no new starts are decided because this host is leaving. */
  private boolean draining;

  LeaderTerm(
      LeaderContext context,
      SerialExecutor shard,
      long epoch,
      long claimOffset,
      PlacementSettings settings) {
    this.context = context;
    term = new TermState(context, shard, epoch, claimOffset);
    term.placer().configure(settings);
    workerMonitor =
        new WorkerMonitor(
            context,
            shard,
            epoch,
            (worker, reports, requestedAtMillis) ->
                inventoryReconciler().reconcileInventory(worker, reports, requestedAtMillis),
            (worker, loss) -> inventoryReconciler().handleLeaseExpiry(worker, loss),
            worker -> workerChanges().updatePlacer(worker));
    workerChanges = new WorkerChangeHandler(term, workerMonitor);
    TaskRecorder recorder = new TaskRecorder(term);
    stopper =
        new TaskStopper(
            term,
            workerMonitor,
            (worker, task, attempt, reply, sent) -> {
              inventoryReconciler().reconcileAttempts(worker, reply.tasks());
              inventoryReconciler().handleAbsentAttempt(worker, task, attempt, sent);
            });
    starter =
        new TaskStarter(
            term,
            workerMonitor,
            recorder,
            stopper,
            (worker, reply) -> inventoryReconciler().reconcileAttempts(worker, reply.tasks()));
    inventoryReconciler = new InventoryReconciler(term, recorder, stopper, starter);
    timelineEvents = new TimelineEventWriter(context.store(), context.timeline());
    quarantines = new QuarantineRecorder(context, shard, epoch, term.placer());
    TermLoader loader = new TermLoader(term, workerMonitor);
    nextOffset = context.store().read(state -> load(loader, state));
    workerMonitor.start();
  }

  long epoch() {
    return term.epoch();
  }

  long nextOffset() {
    return nextOffset;
  }

  void configure(PlacementSettings settings) {
    term.placer().configure(settings);
  }

  Optional<WaitReason> explain(String jobId) {
    return term.placer().explain(jobId, term.now());
  }

  /** Ends the term; replies and outcomes that arrive later are ignored. */
  void end() {
    term.end();
    workerMonitor.close();
  }

  /** Stops deciding new starts; returns whether no start is in progress. */
  boolean drain() {
    draining = true;
    return starter.isIdle();
  }

  /** Publishes a changed plan and carries out the next decisions of the placer. */
  void decide() {
    workerMonitor.publishPlanIfChanged();
    boolean mayDecide = !term.hasEnded() && !draining && term.hasHostLease();
    if (!mayDecide || starter.isFull()) {
      return;
    }
    for (PlacementDecision decision : term.placer().decide(term.now(), MAX_DECISIONS)) {
      switch (decision) {
        case PlacementDecision.Start start -> starter.startPlaced(start.task(), start.workerId());
        case PlacementDecision.Preempt preempt -> preempt(preempt);
      }
    }
  }

  /** Runs the slower checks: expired leases, quarantines, held tasks and unfinished stops. */
  void maintain() {
    workerMonitor.maintain();
    quarantines.recordDecisions();
    starter.retryHeldStarts();
    stopper.resendStops();
  }

  /** Updates the term after a record was applied to the cell state. */
  void recordApplied(long offset, CellRecord record) {
    timelineEvents.recordApplied(offset, record);
    switch (record) {
      case CellRecord.JobAccepted accepted ->
          term.placer().submit(accepted.jobId(), accepted.spec(), term.now());
      case CellRecord.JobCancelled cancelled -> cancelJob(cancelled.jobId());
      case CellRecord.WorkerJoined joined -> workerChanges.handleJoin(joined.worker());
      case CellRecord.WorkerChanged changed -> {
        quarantines.recordApplied(changed);
        workerChanges.applyChange(changed.workerId(), changed.status());
      }
      case CellRecord.DomainDeclaredLost lost -> workerChanges.removeDomain(lost);
      default -> {}
    }
  }

  /** Handles a report of a session holder unless it belongs to another term. */
  void handleReport(SessionReportMessage report) {
    if (report.getEpoch() == term.epoch() && !term.hasEnded()) {
      inventoryReconciler.handleSessionReport(report);
      report.getUnreachableWorkersList().forEach(this::suspend);
    }
  }

  private WorkerChangeHandler workerChanges() {
    return workerChanges;
  }

  private InventoryReconciler inventoryReconciler() {
    return inventoryReconciler;
  }

  private long load(TermLoader loader, CellState state) {
    long offsetAfterState = loader.load(state);
    quarantines.restoreRecorded(state, term.now());
    return offsetAfterState;
  }

  private void preempt(PlacementDecision.Preempt preempt) {
    term.taskTable()
        .find(preempt.task())
        .filter(entry -> entry.phase() == TaskEntry.Phase.RUNNING)
        .ifPresent(entry -> stopper.stop(entry, TaskOutcome.PREEMPTED, preempt.checkpoint()));
  }

  private void cancelJob(String jobId) {
    term.placer().cancel(jobId);
    for (TaskEntry entry : term.taskTable().all()) {
      boolean ofJob = entry.id().jobId().equals(jobId);
      if (ofJob && !starter.cancelHeld(entry) && entry.isActive()) {
        stopper.stop(entry, TaskOutcome.CANCELLED, false);
      }
    }
  }

  /** Suspends a worker that does not respond to its session holder, so that its leases expire. */
  private void suspend(String workerId) {
    if (!workerMonitor.isUsable(workerId)) {
      return;
    }
    LOGGER.atInfo().log(
        "scheduling: worker %s is unresponsive and was suspended, its leases may expire.",
        workerId);
    context.timeline().record("worker-suspended", workerId, "does not respond");
    workerMonitor.suspend(workerId);
    workerChanges.updatePlacer(workerId);
    if (!context.rules().waitForLeaseExpiry()) {
      inventoryReconciler.handleLeaseExpiry(workerId, LossPolicy.MOVE);
      inventoryReconciler.handleLeaseExpiry(workerId, LossPolicy.KEEP);
    }
  }
}

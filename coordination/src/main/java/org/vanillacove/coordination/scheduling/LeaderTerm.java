package org.vanillacove.coordination.scheduling;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import org.vanillacove.coordination.stream.EventShard;
import org.vanillacove.protocol.generated.SessionReportMessage;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.PlacementDecision;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WaitReason;
import org.vanillacove.state.cell.CellState;

/**
 * One term of this host as leader: decides starts, commands workers and records what happens. All
 * methods run on the scheduler's shard.
 */
final class LeaderTerm {
  /** Decisions taken at once. */
  private static final int DECISION_LIMIT = 64;

  /** Logger. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Parts that the work rests on. */
  private final LeaderContext context;

  /** What the parts of the term share. */
  private final TermState term;

  /** Contact with workers. */
  private final WorkerWatcher watcher;

  /** Applies changes of workers. */
  private final WorkerChanges changes;

  /** Stops attempts. */
  private final TaskStopper stopper;

  /** Starts placed tasks. */
  private final TaskStarter starter;

  /** Compares what workers say with what should run. */
  private final InventoryCheck inventories;

  /** Records quarantines. */
  private final QuarantineRecorder quarantines;

  /** Puts changes into the time line. */
  private final RecordEvents events;

  /** Offset through which the placer was built from the state. */
  private final long builtThrough;

  /** Whether no new starts are decided because the host is leaving. */
  private boolean draining;

  LeaderTerm(
      LeaderContext context,
      EventShard shard,
      long epoch,
      long claimOffset,
      PlacementSettings settings) {
    this.context = context;
    term = new TermState(context, shard, epoch, claimOffset);
    term.placer().configure(settings);
    watcher =
        new WorkerWatcher(
            context,
            shard,
            epoch,
            (worker, reports, asked) -> inventories().takeInventory(worker, reports, asked),
            (worker, loss) -> inventories().takeLapse(worker, loss),
            worker -> changes().applyStatus(worker));
    changes = new WorkerChanges(term, watcher);
    TaskRecorder recorder = new TaskRecorder(term);
    stopper =
        new TaskStopper(
            term,
            watcher,
            (worker, task, attempt, reply, sent) -> {
              inventories().takeAttempts(worker, reply.tasks());
              inventories().takeAbsent(worker, task, attempt, sent);
            });
    starter =
        new TaskStarter(
            term,
            watcher,
            recorder,
            stopper,
            (worker, reply) -> inventories().takeAttempts(worker, reply.tasks()));
    inventories = new InventoryCheck(term, recorder, stopper, starter);
    events = new RecordEvents(context.store(), context.timeline());
    quarantines = new QuarantineRecorder(context, shard, epoch, term.placer());
    TermLoader loader = new TermLoader(term, watcher);
    builtThrough = context.store().read(state -> load(loader, state));
    watcher.start();
  }

  long epoch() {
    return term.epoch();
  }

  long builtThrough() {
    return builtThrough;
  }

  void configure(PlacementSettings settings) {
    term.placer().configure(settings);
  }

  Optional<WaitReason> explain(String jobId) {
    return term.placer().explain(jobId, term.now());
  }

  /** Ends the term; whatever is under way has no further effect. */
  void end() {
    term.end();
    watcher.close();
  }

  /** Decides no new starts; returns whether nothing is under way. */
  boolean drain() {
    draining = true;
    return starter.isIdle();
  }

  /** Takes decisions of the placer. */
  void decide() {
    watcher.flushPlan();
    boolean able = !term.isOver() && !draining && term.hasStanding();
    if (!able || starter.isFull()) {
      return;
    }
    for (PlacementDecision decision : term.placer().decide(term.now(), DECISION_LIMIT)) {
      switch (decision) {
        case PlacementDecision.Start start -> starter.place(start.task(), start.workerId());
        case PlacementDecision.Preempt preempt -> preempt(preempt);
      }
    }
  }

  /** Does slower checks: lapses, held tasks, stops without an answer. */
  void maintain() {
    watcher.maintain();
    quarantines.tick();
    starter.resumeHeld();
    stopper.repeat();
  }

  /** Takes note of a folded record that counted. */
  void folded(long offset, CellRecord record) {
    events.folded(offset, record);
    switch (record) {
      case CellRecord.JobAccepted accepted ->
          term.placer().submit(accepted.jobId(), accepted.spec(), term.now());
      case CellRecord.JobCancelled cancelled -> cancel(cancelled.jobId());
      case CellRecord.WorkerJoined joined -> changes.join(joined.worker());
      case CellRecord.WorkerChanged changed -> {
        quarantines.folded(changed);
        changes.change(changed.workerId(), changed.status());
      }
      case CellRecord.DomainDeclaredLost lost -> changes.loseDomain(lost);
      default -> {}
    }
  }

  /** Takes a report of a session holder. */
  void report(SessionReportMessage report) {
    if (report.getEpoch() == term.epoch() && !term.isOver()) {
      inventories.takeReport(report);
      report.getUnreachableWorkersList().forEach(this::suspend);
    }
  }

  private WorkerChanges changes() {
    return changes;
  }

  private InventoryCheck inventories() {
    return inventories;
  }

  private long load(TermLoader loader, CellState state) {
    long through = loader.load(state);
    quarantines.load(state, term.now());
    return through;
  }

  private void preempt(PlacementDecision.Preempt preempt) {
    term.ledger()
        .find(preempt.task())
        .filter(entry -> entry.phase() == TaskEntry.Phase.RUNNING)
        .ifPresent(entry -> stopper.stop(entry, TaskOutcome.PREEMPTED, preempt.checkpoint()));
  }

  private void cancel(String jobId) {
    term.placer().cancel(jobId);
    for (TaskEntry entry : term.ledger().all()) {
      boolean ofJob = entry.id().jobId().equals(jobId);
      if (ofJob && !starter.cancelHeld(entry) && entry.isActive()) {
        stopper.stop(entry, TaskOutcome.CANCELLED, false);
      }
    }
  }

  /** Lets the leases of a worker lapse that does not answer its session holder. */
  private void suspend(String workerId) {
    if (!watcher.isUsable(workerId)) {
      return;
    }
    LOGGER.atInfo().log("scheduling: worker %s is silent, its leases may lapse.", workerId);
    context.timeline().record("worker-suspended", workerId, "does not answer");
    watcher.suspend(workerId);
    changes.applyStatus(workerId);
    if (!context.rules().lapseCertainty()) {
      inventories.takeLapse(workerId, LossPolicy.MOVE);
      inventories.takeLapse(workerId, LossPolicy.KEEP);
    }
  }
}

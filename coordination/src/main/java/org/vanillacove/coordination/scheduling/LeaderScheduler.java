package org.vanillacove.coordination.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.vanillacove.coordination.leadership.LeadershipListener;
import org.vanillacove.coordination.session.SessionHolder;
import org.vanillacove.coordination.stream.RecordListener;
import org.vanillacove.coordination.stream.SerialExecutor;
import org.vanillacove.coordination.stream.SnapshotWriter;
import org.vanillacove.protocol.generated.SessionReportMessage;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.api.WaitReason;
import org.vanillacove.state.cell.ApplyOutcome;

/** Schedules the tasks of the cell while this host leads. */
public final class LeaderScheduler
    implements LeadershipListener, RecordListener, SessionHolder.ReportHandler {
  /** Services and settings used by the leader. */
  private final LeaderContext context;

  /** Writes snapshots and digests of the state to the log. */
  private final SnapshotWriter snapshots;

  /** Executor that guards the fields below. */
  private final SerialExecutor shard = new SerialExecutor();

  /** Timers that are cancelled on close. */
  private final List<TimerService.Subscription> subscriptions = new ArrayList<>();

  /** The current leadership term, empty while this host does not lead. */
  private Optional<LeaderTerm> term = Optional.empty();

  /** Newest placement settings, passed to each new term. */
  private PlacementSettings settings = PlacementSettings.DEFAULTS;

  /** Creates a scheduler; it does nothing before {@link #start}. */
  public LeaderScheduler(LeaderContext context) {
    this.context = context;
    this.snapshots =
        new SnapshotWriter(context.store(), context.writer(), context.timer(), context.timings());
  }

  /** Starts the timers for placement decisions and maintenance. */
  public void start() {
    TimerService timer = context.timer();
    subscriptions.add(
        timer.every(
            context.timings().decision(),
            () -> shard.execute(() -> term.ifPresent(LeaderTerm::decide))));
    subscriptions.add(
        timer.every(context.timings().maintenance(), () -> shard.execute(this::maintain)));
  }

  /** Cancels the timers and drops all pending events. */
  public void close() {
    subscriptions.forEach(TimerService.Subscription::cancel);
    shard.close();
  }

  /** Sets the placement settings of the current and of later terms. */
  public void configure(PlacementSettings newSettings) {
    shard.execute(
        () -> {
          settings = newSettings;
          term.ifPresent(current -> current.configure(newSettings));
        });
  }

  /** Stops deciding new starts; returns whether no start is in progress. */
  public boolean drain() {
    return shard.read(() -> term.isEmpty() || term.get().drain());
  }

  /** Returns why a job waits, empty if it does not wait or this host does not lead. */
  public Optional<WaitReason> explain(String jobId) {
    return shard.read(() -> term.flatMap(current -> current.explain(jobId)));
  }

  @Override
  public void lead(long epoch, long claimOffset) {
    shard.execute(
        () -> {
          snapshots.reset();
          term = Optional.of(new LeaderTerm(context, shard, epoch, claimOffset, settings));
        });
  }

  @Override
  public void stepDown() {
    shard.execute(
        () -> {
          term.ifPresent(LeaderTerm::end);
          term = Optional.empty();
        });
  }

  @Override
  public void recordApplied(long offset, RecordEnvelope envelope, ApplyOutcome outcome) {
    if (outcome instanceof ApplyOutcome.Applied && context.store().epoch() > 0) {
      shard.execute(
          () ->
              term.filter(current -> offset >= current.nextOffset())
                  .ifPresent(current -> current.recordApplied(offset, envelope.record())));
    }
  }

  @Override
  public void stateReplaced() {}

  @Override
  public void handle(SessionReportMessage report) {
    shard.execute(() -> term.ifPresent(current -> current.handleReport(report)));
  }

  private void maintain() {
    term.ifPresent(
        current -> {
          current.maintain();
          snapshots.writeDue(current.epoch());
        });
  }
}

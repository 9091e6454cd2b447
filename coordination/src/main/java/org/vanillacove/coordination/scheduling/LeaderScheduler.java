package org.vanillacove.coordination.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.vanillacove.coordination.leadership.LeadershipListener;
import org.vanillacove.coordination.session.SessionHolder;
import org.vanillacove.coordination.stream.EventShard;
import org.vanillacove.coordination.stream.FoldListener;
import org.vanillacove.coordination.stream.SnapshotWriter;
import org.vanillacove.protocol.generated.SessionReportMessage;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.api.WaitReason;
import org.vanillacove.state.cell.FoldOutcome;

/** Does the leader's work while this host leads. */
public final class LeaderScheduler
    implements LeadershipListener, FoldListener, SessionHolder.ReportHandler {
  /** Parts that the work rests on. */
  private final LeaderContext context;

  /** Writes snapshots and digests. */
  private final SnapshotWriter snapshots;

  /** Serialises the state below. */
  private final EventShard shard = new EventShard();

  /** Timers to be cancelled at the end. */
  private final List<TimerService.Subscription> subscriptions = new ArrayList<>();

  /** The term, empty while this host does not lead. */
  private Optional<LeaderTerm> term = Optional.empty();

  /** Policy values of placement. */
  private PlacementSettings settings = PlacementSettings.DEFAULTS;

  /** Creates a scheduler; it does nothing before {@link #start}. */
  public LeaderScheduler(LeaderContext context) {
    this.context = context;
    this.snapshots =
        new SnapshotWriter(context.store(), context.writer(), context.timer(), context.timings());
  }

  /** Starts the timers of the leader's work. */
  public void start() {
    TimerService timer = context.timer();
    subscriptions.add(
        timer.every(
            context.timings().decision(),
            () -> shard.execute(() -> term.ifPresent(LeaderTerm::decide))));
    subscriptions.add(timer.every(context.timings().upkeep(), () -> shard.execute(this::maintain)));
  }

  /** Stops all work. */
  public void close() {
    subscriptions.forEach(TimerService.Subscription::cancel);
    shard.close();
  }

  /** Sets the policy values of placement. */
  public void configure(PlacementSettings newSettings) {
    shard.execute(
        () -> {
          settings = newSettings;
          term.ifPresent(current -> current.configure(newSettings));
        });
  }

  /** Begins no new starts; returns whether nothing of the leader's work is under way. */
  public boolean drain() {
    return shard.read(() -> term.isEmpty() || term.get().drain());
  }

  /** Explains why a job waits, empty if it does not or this host does not lead. */
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
  public void folded(long offset, RecordEnvelope envelope, FoldOutcome outcome) {
    if (outcome instanceof FoldOutcome.Applied && context.store().epoch() > 0) {
      shard.execute(
          () ->
              term.filter(current -> offset >= current.builtThrough())
                  .ifPresent(current -> current.folded(offset, envelope.record())));
    }
  }

  @Override
  public void reloaded() {}

  @Override
  public void handle(SessionReportMessage report) {
    shard.execute(() -> term.ifPresent(current -> current.report(report)));
  }

  private void maintain() {
    term.ifPresent(
        current -> {
          current.maintain();
          snapshots.tick(current.epoch());
        });
  }
}

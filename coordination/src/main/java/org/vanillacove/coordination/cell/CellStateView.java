package org.vanillacove.coordination.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.vanillacove.coordination.api.CellView;
import org.vanillacove.coordination.membership.MembershipService;
import org.vanillacove.coordination.scheduling.LeaderScheduler;
import org.vanillacove.coordination.stream.CellStore;
import org.vanillacove.coordination.stream.StreamReader;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WaitReason;
import org.vanillacove.state.cell.CellState;
import org.vanillacove.state.cell.ConfigurationHistory;
import org.vanillacove.state.cell.JobState;
import org.vanillacove.state.cell.TaskState;

/** View of the cell state built from the records applied on this host. */
final class CellStateView implements CellView {
  /** Cell state built from the records of the log. */
  private final CellStore store;

  /** Knows whether the log is reachable. */
  private final StreamReader reader;

  /** Knows the configuration versions in force on other hosts. */
  private final MembershipService membership;

  /** Explains why jobs wait while this host leads. */
  private final LeaderScheduler scheduler;

  /** Knows the configuration version in force on this host. */
  private final ConfigurationFeed configuration;

  CellStateView(
      CellStore store,
      StreamReader reader,
      MembershipService membership,
      LeaderScheduler scheduler,
      ConfigurationFeed configuration) {
    this.store = store;
    this.reader = reader;
    this.membership = membership;
    this.scheduler = scheduler;
    this.configuration = configuration;
  }

  @Override
  public List<JobView> jobs() {
    return store.read(
        state -> state.jobs().stream().map(job -> view(job, Optional.empty())).toList());
  }

  @Override
  public Optional<JobView> job(String jobId) {
    var waiting = scheduler.explain(jobId);
    return store.read(state -> state.job(jobId).map(job -> view(job, waiting)));
  }

  @Override
  public List<WorkerView> workers() {
    return store.read(
        state ->
            state.workers().stream()
                .map(
                    worker ->
                        new WorkerView(
                            worker.spec(),
                            worker.status(),
                            worker.reason(),
                            worker.committed(),
                            worker.running().size()))
                .toList());
  }

  @Override
  public CellStatus status() {
    boolean reachable = reader.isLogReachable();
    return store.read(
        state ->
            new CellStatus(
                state.epoch(), state.leader(), state.nextOffset(), state.hosts(), reachable));
  }

  @Override
  public long configurationVersion() {
    return configuration.version();
  }

  @Override
  public List<ConfigurationVersion> configurationHistory() {
    return store.read(CellState::configurations).stream()
        .map(ConfigurationFeed::versionOf)
        .toList();
  }

  @Override
  public void visitConfigurations(Consumer<ConfigurationVersion> visitor) {
    ConfigurationHistory.visit(
        store.read(CellState::configurationDeltas),
        entry -> visitor.accept(ConfigurationFeed.versionOf(entry)));
  }

  @Override
  public Optional<ConfigurationVersion> configuration(long version) {
    return store.read(state -> state.configuration(version)).map(ConfigurationFeed::versionOf);
  }

  @Override
  public Map<String, Long> versionsInForce() {
    return membership.versionsInForce();
  }

  private static JobView view(JobState job, Optional<WaitReason> waiting) {
    List<TaskView> tasks = new ArrayList<>();
    for (int i = 0; i < job.spec().taskCount(); i++) {
      TaskState task = job.task(i);
      Optional<TaskOutcome> outcome = task.isRunning() ? Optional.empty() : task.outcome();
      tasks.add(new TaskView(i, task.attempt(), task.workerId(), outcome, task.settled()));
    }
    return new JobView(
        job.jobId(), job.spec(), job.acceptedAtMillis(), job.isCancelled(), tasks, waiting);
  }
}

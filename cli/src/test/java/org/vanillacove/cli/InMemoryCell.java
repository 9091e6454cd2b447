package org.vanillacove.cli;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.vanillacove.coordination.api.CellControl;
import org.vanillacove.coordination.api.CellView;
import org.vanillacove.coordination.api.Membership;
import org.vanillacove.coordination.api.ProposalOutcome;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WaitReason;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkerStatus;

/** An in-memory cell of three hosts and two workers that applies every change immediately. */
final class InMemoryCell implements CellControl {
  static final List<HostSpec> HOSTS =
      List.of(host("h1", "attica"), host("h2", "macedonia"), host("h3", "thessaly"));

  private final TimerService timer;
  private final Map<String, CellView.JobView> jobs = new LinkedHashMap<>();
  private final Map<String, CellView.WorkerView> workers = new LinkedHashMap<>();
  private final List<CellView.ConfigurationVersion> versions = new ArrayList<>();
  private final Map<String, Long> pinnedVersions = new LinkedHashMap<>();
  private long offset = 100;
  private boolean logReachable = true;
  private boolean answersLost;

  InMemoryCell(TimerService timer) {
    this.timer = timer;
    for (String id : List.of("w1", "w2")) {
      WorkerSpec spec =
          new WorkerSpec(
              id,
              "127.0.0.1:9",
              new AvailabilityZone("attica", "attica-a"),
              "rack-1",
              new Resources(64_000, 262_144, 4),
              Optional.of("a100"),
              Map.of());
      workers.put(id, new CellView.WorkerView(spec, WorkerStatus.ACTIVE, "", Resources.NONE, 0));
    }
  }

  /** Sets whether appends reach the log and whether their responses are lost. */
  synchronized void setLog(boolean reachable, boolean lost) {
    logReachable = reachable;
    answersLost = lost;
  }

  /** Pins a host to its current configuration version, or unpins it. */
  synchronized void pinVersion(String hostId, boolean hold) {
    if (hold) {
      pinnedVersions.put(hostId, newestVersion());
    } else {
      pinnedVersions.remove(hostId);
    }
  }

  /** Sets the state of all tasks of a job. */
  synchronized void setTasks(String jobId, Optional<String> worker, Optional<TaskOutcome> outcome) {
    CellView.JobView job = jobs.get(jobId);
    List<CellView.TaskView> tasks =
        job.tasks().stream()
            .map(t -> new CellView.TaskView(t.index(), 1, worker, outcome, outcome.isPresent()))
            .toList();
    jobs.put(
        jobId,
        new CellView.JobView(
            jobId, job.spec(), job.acceptedAtMillis(), job.cancelled(), tasks, Optional.empty()));
  }

  CellView view(String hostId) {
    return new HostView(hostId);
  }

  Membership membership(HostSpec self) {
    return new FixedMembership(self);
  }

  @Override
  public synchronized CompletableFuture<ProposalOutcome> submitJob(
      String jobId, JobSpec spec, Duration deadline) {
    return change(
        jobId,
        () -> {
          List<CellView.TaskView> tasks =
              IntStream.range(0, spec.taskCount())
                  .mapToObj(
                      i -> new CellView.TaskView(i, 0, Optional.empty(), Optional.empty(), false))
                  .toList();
          jobs.putIfAbsent(
              jobId,
              new CellView.JobView(
                  jobId,
                  spec,
                  timer.wallMillis(),
                  false,
                  tasks,
                  Optional.of(new WaitReason("accelerators", "4 accelerators on one worker"))));
        });
  }

  @Override
  public synchronized CompletableFuture<ProposalOutcome> cancelJob(
      String jobId, String reason, Duration deadline) {
    return change(
        jobId,
        () -> {
          setTasks(jobId, Optional.empty(), Optional.of(TaskOutcome.CANCELLED));
          CellView.JobView job = jobs.get(jobId);
          jobs.put(
              jobId,
              new CellView.JobView(
                  jobId, job.spec(), job.acceptedAtMillis(), true, job.tasks(), job.waiting()));
        });
  }

  @Override
  public synchronized CompletableFuture<ProposalOutcome> putConfiguration(
      long basedOn, String document, String author, String reason, Duration deadline) {
    if (basedOn != newestVersion()) {
      return CompletableFuture.completedFuture(
          new ProposalOutcome.Conflict(newestVersion(), versions.getLast().document()));
    }
    return change(
        "configuration",
        () ->
            versions.add(new CellView.ConfigurationVersion(offset + 1, document, author, reason)));
  }

  @Override
  public synchronized CompletableFuture<ProposalOutcome> changeWorker(
      String workerId, WorkerStatus status, String reason, Duration deadline) {
    return change(
        workerId,
        () ->
            workers.computeIfPresent(
                workerId,
                (id, w) ->
                    new CellView.WorkerView(
                        w.spec(), status, reason, w.committed(), w.runningTasks())));
  }

  @Override
  public synchronized CompletableFuture<ProposalOutcome> declareLost(
      String region, Optional<String> zone, String reason, Duration deadline) {
    return change(region, () -> {});
  }

  private CompletableFuture<ProposalOutcome> change(String id, Runnable action) {
    if (!logReachable) {
      return CompletableFuture.completedFuture(
          new ProposalOutcome.Refused("", "not accepted: the log is not reachable"));
    }
    action.run();
    offset++;
    return CompletableFuture.completedFuture(
        answersLost
            ? new ProposalOutcome.Unknown("p-" + id, "the answer of the log was lost")
            : new ProposalOutcome.Accepted(offset));
  }

  private synchronized long newestVersion() {
    return versions.isEmpty() ? 0 : versions.getLast().version();
  }

  private static HostSpec host(String id, String region) {
    return new HostSpec(id, "127.0.0.1:1", new AvailabilityZone(region, region + "-a"));
  }

  /** View of the cell as one host sees it. */
  private final class HostView implements CellView {
    private final String hostId;

    HostView(String hostId) {
      this.hostId = hostId;
    }

    @Override
    public List<JobView> jobs() {
      synchronized (InMemoryCell.this) {
        return List.copyOf(jobs.values());
      }
    }

    @Override
    public Optional<JobView> job(String jobId) {
      synchronized (InMemoryCell.this) {
        return Optional.ofNullable(jobs.get(jobId));
      }
    }

    @Override
    public List<WorkerView> workers() {
      synchronized (InMemoryCell.this) {
        return List.copyOf(workers.values());
      }
    }

    @Override
    public CellStatus status() {
      synchronized (InMemoryCell.this) {
        return new CellStatus(3, Optional.of("h1"), offset + 1, HOSTS, logReachable);
      }
    }

    @Override
    public long configurationVersion() {
      synchronized (InMemoryCell.this) {
        return pinnedVersions.getOrDefault(hostId, newestVersion());
      }
    }

    @Override
    public Map<String, Long> versionsInForce() {
      return Map.of(hostId, configurationVersion());
    }

    @Override
    public List<ConfigurationVersion> configurationHistory() {
      synchronized (InMemoryCell.this) {
        return versions.stream().filter(v -> v.version() <= configurationVersion()).toList();
      }
    }
  }

  /** A membership in which all three hosts are reachable. */
  private record FixedMembership(HostSpec self) implements Membership {
    @Override
    public List<HostSpec> agreedHosts() {
      return HOSTS;
    }

    @Override
    public boolean isReachable(String hostId) {
      return true;
    }

    @Override
    public boolean hasHostLease() {
      return true;
    }

    @Override
    public long epoch() {
      return 3;
    }

    @Override
    public boolean isLeader() {
      return self.id().equals("h1");
    }

    @Override
    public void onChange(Runnable listener) {}
  }
}

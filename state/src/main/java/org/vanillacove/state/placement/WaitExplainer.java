package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.vanillacove.state.api.Admission;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WaitReason;

/** Explains why a job waits, by the first constraint that prevents its start. */
final class WaitExplainer {
  /** Milliseconds per second. */
  private static final long SECOND_MILLIS = 1_000;

  /** Workers, jobs and queues that the explanations are derived from. */
  private final PlacementState state;

  WaitExplainer(PlacementState state) {
    this.state = state;
  }

  /** Returns the reason, empty if no task of the job waits or the job is unknown. */
  Optional<WaitReason> explain(String jobId, long nowMillis) {
    Job job = state.jobs().get(jobId);
    if (job == null || job.isCancelled()) {
      return Optional.empty();
    }
    Optional<Nomination> nomination = state.nomination(job);
    if (nomination.isPresent()) {
      return Optional.of(waitingForPreemption(nomination.get()));
    }
    if (!job.hasPending()) {
      return Optional.empty();
    }
    if (job.isRestarting()) {
      return Optional.of(
          new WaitReason(
              "gang: a task ended, " + job.running().size() + " other tasks are being stopped",
              "the end of the other tasks, then a restart of the whole gang"));
    }
    if (job.notBeforeMillis() > nowMillis) {
      return Optional.of(backingOff(job, nowMillis));
    }
    Admission admission = FeasibilityCheck.check(job.spec(), state.workers().usableSpecs());
    if (admission instanceof Admission.NeverFits rejected) {
      return Optional.of(
          new WaitReason(
              "cannot run on the cell as it is now: " + rejected.constraint(),
              "a suitable worker, or a job that requests " + rejected.nearest()));
    }
    ShapeKey key =
        job.lane().map(lane -> lane.shape().key()).orElseGet(() -> state.shapeKeyOf(job));
    Optional<WaitReason> quota = overQuota(job, key);
    if (quota.isPresent()) {
      return quota;
    }
    Optional<Reservation> reservation = state.reservations().of(job);
    return Optional.of(
        reservation
            .map(r -> reserved(r, nowMillis))
            .orElseGet(() -> noCapacity(job, key, nowMillis)));
  }

  private static WaitReason waitingForPreemption(Nomination nomination) {
    List<String> ids = nomination.slots().stream().map(WorkerState::id).distinct().toList();
    return new WaitReason(
        "room: other tasks are being stopped on " + String.join(", ", ids),
        "the end of the stopped tasks");
  }

  private static WaitReason backingOff(Job job, long nowMillis) {
    String cause =
        FailureTracker.isAtFault(job)
            ? "the job itself seems to be at fault"
            : "the workers may be at fault";
    return new WaitReason(
        "backoff: "
            + job.failures()
            + " failures on "
            + String.join(", ", job.failedWorkers())
            + "; "
            + cause,
        "next attempt in " + seconds(job.notBeforeMillis() - nowMillis));
  }

  private Optional<WaitReason> overQuota(Job job, ShapeKey key) {
    TeamShare team = state.team(job);
    Resources total = key.size().times(key.gangSize());
    if (!key.nonPreemptible() || team.isNonPreemptibleWithinQuota(total)) {
      return Optional.empty();
    }
    Resources quota = team.quota().orElseThrow();
    return Optional.of(
        new WaitReason(
            "quota of team "
                + team.name()
                + ": "
                + FeasibilityCheck.excess(team.nonPreemptibleAllocated().plus(total), quota),
            "the end of tasks of the team, a higher quota, or preemptible tasks,"
                + " which may borrow"));
  }

  private static WaitReason reserved(Reservation reservation, long nowMillis) {
    List<String> ids = reservation.workers().stream().map(WorkerState::id).toList();
    long wait = reservation.readyAtMillis() - nowMillis;
    String when = wait > 0 ? "expected in " + seconds(wait) : "expected any moment";
    return new WaitReason(
        "room for " + reservation.count() + " tasks: reserved on " + String.join(", ", ids),
        "the end of tasks that run there, " + when);
  }

  private WaitReason noCapacity(Job job, ShapeKey key, long nowMillis) {
    List<WorkerState> allowed = new ArrayList<>();
    int unavailable = 0;
    for (WorkerState worker : state.workers().all()) {
      if (key.constraints().allows(worker.spec()) && key.size().fitsIn(worker.spec().capacity())) {
        if (worker.isSchedulable()) {
          allowed.add(worker);
        } else {
          unavailable++;
        }
      }
    }
    long fitting =
        allowed.stream()
            .mapToLong(w -> FeasibilityCheck.copies(w.placeable(), key.size(), key.gangSize()))
            .sum();
    if (fitting >= key.gangSize()) {
      TeamShare team = state.team(job);
      return new WaitReason(
          "order: capacity is free, but teams within their quota and with a smaller share go first",
          "a later round; team "
              + team.name()
              + " has allocated "
              + FeasibilityCheck.describe(team.allocated()));
    }
    String scarce = describeShortage(key.size(), allowed);
    String count = key.gangSize() > 1 ? key.gangSize() + " tasks of " : "";
    return new WaitReason(
        "room: "
            + count
            + FeasibilityCheck.describe(key.size())
            + " do not fit now; of "
            + (allowed.size() + unavailable)
            + " workers large enough for a task, "
            + unavailable
            + " are unavailable, "
            + scarce,
        remedy(key, allowed, nowMillis));
  }

  private static String describeShortage(Resources size, List<WorkerState> workers) {
    long cpu = workers.stream().filter(w -> w.placeable().cpuMillis() < size.cpuMillis()).count();
    long memory =
        workers.stream().filter(w -> w.placeable().memoryMib() < size.memoryMib()).count();
    long accelerators =
        workers.stream().filter(w -> w.placeable().accelerators() < size.accelerators()).count();
    return cpu + " lack cpu, " + memory + " lack memory, " + accelerators + " lack accelerators";
  }

  private static String remedy(ShapeKey key, List<WorkerState> workers, long nowMillis) {
    Optional<RunningTask> first =
        workers.stream()
            .flatMap(w -> w.running().stream())
            .filter(t -> key.size().fitsIn(t.worker().placeable().plus(t.committed())))
            .min(Comparator.comparingLong(t -> t.expectedEnd(nowMillis)));
    if (first.isEmpty()) {
      return "the end of several tasks on one worker, or an additional worker with "
          + FeasibilityCheck.describe(key.size())
          + " free";
    }
    long end = first.get().expectedEnd(nowMillis);
    String when =
        end >= UsageEstimator.OPEN_ENDED_MILLIS
            ? ", which has no expected end"
            : ", expected in " + seconds(end - nowMillis);
    return "the end of task "
        + first.get().id()
        + " on worker "
        + first.get().worker().id()
        + when
        + ", or an additional worker";
  }

  private static String seconds(long millis) {
    return Math.ceilDiv(millis, SECOND_MILLIS) + " s";
  }
}

package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.vanillacove.state.api.Admission;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WaitReason;

/** Explains why a job waits, by the first constraint that holds it back. */
final class WaitExplainer {
  /** Milliseconds in a second. */
  private static final long SECOND_MILLIS = 1_000;

  /** What is known. */
  private final PlacementState state;

  WaitExplainer(PlacementState state) {
    this.state = state;
  }

  /** Returns the reason, empty if no task of the job waits. */
  Optional<WaitReason> explain(String jobId, long nowMillis) {
    Job job = state.jobs().get(jobId);
    if (job == null || job.isCancelled()) {
      return Optional.empty();
    }
    Optional<Nomination> nomination = state.nomination(job);
    if (nomination.isPresent()) {
      return Optional.of(making(nomination.get()));
    }
    if (!job.hasPending()) {
      return Optional.empty();
    }
    if (job.isRestarting()) {
      return Optional.of(
          new WaitReason(
              "gang: a member ended, " + job.running().size() + " others are being stopped",
              "the end of the others; then all start together again"));
    }
    if (job.notBeforeMillis() > nowMillis) {
      return Optional.of(backingOff(job, nowMillis));
    }
    Admission admission = FeasibilityCheck.check(job.spec(), state.workers().usableSpecs());
    if (admission instanceof Admission.NeverFits never) {
      return Optional.of(
          new WaitReason(
              "cannot run on the cell as it is now: " + never.constraint(),
              "a worker that fits, or a job that asks for " + never.nearest()));
    }
    ShapeKey key = job.lane().map(lane -> lane.shape().key()).orElseGet(() -> state.shapeOf(job));
    Optional<WaitReason> quota = overQuota(job, key);
    if (quota.isPresent()) {
      return quota;
    }
    Optional<Reservation> reservation = state.reservations().of(job);
    return Optional.of(
        reservation.map(r -> reserved(r, nowMillis)).orElseGet(() -> noRoom(job, key, nowMillis)));
  }

  private static WaitReason making(Nomination nomination) {
    List<String> ids = nomination.slots().stream().map(WorkerState::id).distinct().toList();
    return new WaitReason(
        "room: other tasks are being stopped on " + String.join(", ", ids),
        "the end of the stopped tasks");
  }

  private static WaitReason backingOff(Job job, long nowMillis) {
    String cause =
        FailureTracker.isAtFault(job)
            ? "the job itself seems at fault"
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
    Resources total = key.size().times(key.together());
    if (!key.firm() || team.isFirmlyWithin(total)) {
      return Optional.empty();
    }
    Resources quota = team.quota().orElseThrow();
    return Optional.of(
        new WaitReason(
            "quota of team "
                + team.name()
                + ": "
                + FeasibilityCheck.excess(team.firmlyHeld().plus(total), quota),
            "the end of tasks of the team, a higher quota, or tasks that can be stopped,"
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

  private WaitReason noRoom(Job job, ShapeKey key, long nowMillis) {
    List<WorkerState> allowed = new ArrayList<>();
    int closed = 0;
    for (WorkerState worker : state.workers().all()) {
      if (key.constraints().allows(worker.spec()) && key.size().fitsIn(worker.spec().capacity())) {
        if (worker.isOpen()) {
          allowed.add(worker);
        } else {
          closed++;
        }
      }
    }
    long room =
        allowed.stream()
            .mapToLong(w -> FeasibilityCheck.copies(w.placeable(), key.size(), key.together()))
            .sum();
    if (room >= key.together()) {
      TeamShare team = state.team(job);
      return new WaitReason(
          "order: room is free, but teams within their quota and with a smaller share go first",
          "a next round; team " + team.name() + " holds " + FeasibilityCheck.describe(team.held()));
    }
    String scarce = scarce(key.size(), allowed);
    String count = key.together() > 1 ? key.together() + " tasks of " : "";
    return new WaitReason(
        "room: "
            + count
            + FeasibilityCheck.describe(key.size())
            + " do not fit now; of "
            + (allowed.size() + closed)
            + " workers that could hold a task "
            + closed
            + " are closed, "
            + scarce,
        remedy(key, allowed, nowMillis));
  }

  private static String scarce(Resources size, List<WorkerState> workers) {
    long cpu = workers.stream().filter(w -> w.placeable().cpuMillis() < size.cpuMillis()).count();
    long memory =
        workers.stream().filter(w -> w.placeable().memoryMib() < size.memoryMib()).count();
    long accelerators =
        workers.stream().filter(w -> w.placeable().accelerators() < size.accelerators()).count();
    return cpu + " lack cpu, " + memory + " memory, " + accelerators + " accelerators";
  }

  private static String remedy(ShapeKey key, List<WorkerState> workers, long nowMillis) {
    Optional<RunningTask> first =
        workers.stream()
            .flatMap(w -> w.running().stream())
            .filter(t -> key.size().fitsIn(t.worker().placeable().plus(t.committed())))
            .min(Comparator.comparingLong(t -> t.expectedEnd(nowMillis)));
    if (first.isEmpty()) {
      return "the end of several tasks on one worker, or a further worker with "
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
        + ", or a further worker";
  }

  private static String seconds(long millis) {
    return Math.ceilDiv(millis, SECOND_MILLIS) + " s";
  }
}

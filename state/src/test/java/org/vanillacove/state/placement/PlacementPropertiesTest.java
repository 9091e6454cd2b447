package org.vanillacove.state.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.api.WorkloadKind;

/** Checks invariants of placement under random submissions, ends, failures and drains. */
final class PlacementPropertiesTest {
  private static final int STEPS = 250;
  private static final int MAX_PREEMPTIONS = 2;
  private static final Resources QUOTA = new Resources(24_000, 98_304, 2);

  @Property(tries = 60, seed = "4711")
  void decisionsNeverExceedCapacityStartTwiceOrSplitGangs(@ForAll long seed) {
    Random random = new Random(seed);
    PlacerModel model = cell();
    for (int step = 0; step < STEPS; step++) {
      step(model, random, step, step * 700L);
      model.decide(step * 700L, 1 + random.nextInt(20));
    }
    assertThat(model.preemptions.values()).allMatch(count -> count <= MAX_PREEMPTIONS);
  }

  @Property(tries = 40, seed = "4712")
  void nonPreemptibleTasksStayWithinQuota(@ForAll long seed) {
    Random random = new Random(seed);
    PlacerModel model = cell();
    for (int step = 0; step < STEPS; step++) {
      step(model, random, step, step * 700L);
      model.decide(step * 700L, 50);
      for (int team = 0; team < 3; team++) {
        assertThat(nonPreemptibleAllocated(model, "team" + team).fitsIn(QUOTA)).isTrue();
      }
    }
  }

  @Property(tries = 40, seed = "4713")
  void everyJobEndsWhenNoNewJobArrives(@ForAll long seed) {
    Random random = new Random(seed);
    PlacerModel model = cell();
    for (int step = 0; step < 60; step++) {
      model.submit("j" + step, endingJob(random), step * 100L);
      model.decide(step * 100L, 20);
    }
    long now = 10_000;
    for (int round = 0; round < 2_000 && !allEnded(model, now); round++) {
      now += 1_000;
      model.endStoppingTasks(now);
      List<TaskId> running = model.runningTasks();
      if (!running.isEmpty()) {
        model.end(running.getFirst(), TaskOutcome.SUCCEEDED, now);
      }
      model.decide(now, 20);
    }
    assertThat(allEnded(model, now)).isTrue();
  }

  @Property(tries = 30, seed = "4714")
  void largeGangStartsDespiteStreamOfSmallTasks(@ForAll long seed) {
    Random random = new Random(seed);
    PlacerModel model = cell();
    for (int i = 0; i < 60; i++) {
      model.submit("first" + i, small(), 0);
    }
    model.decide(0, 100);
    model.submit(
        "gang", Specs.job(WorkloadKind.GANG, PriorityClass.NORMAL, 4, Specs.size(8, 8)), 1);
    long now = 0;
    int step = 0;
    while (model.running.keySet().stream().noneMatch(t -> t.jobId().equals("gang"))) {
      now += 1_000;
      model.submit("small" + step++, small(), now);
      List<TaskId> running = model.runningTasks();
      model.end(running.get(random.nextInt(running.size())), TaskOutcome.SUCCEEDED, now);
      model.decide(now, 20);
      assertThat(now).isLessThan(600_000);
    }
  }

  private static PlacerModel cell() {
    PlacerModel model = new PlacerModel(new PolicyPlacer());
    for (int i = 0; i < 12; i++) {
      boolean accelerated = i % 4 == 3;
      model.addWorker(
          Specs.worker(
              "w" + i,
              "abc".charAt(i % 3) + "1",
              "rack" + i / 2,
              accelerated ? new Resources(16_000, 65_536, 4) : Specs.WORKER,
              accelerated ? Optional.of("gpu") : Optional.empty()));
    }
    model.placer.configure(
        new PlacementSettings(
            Map.of("team0", QUOTA, "team1", QUOTA, "team2", QUOTA), 60_000, MAX_PREEMPTIONS));
    return model;
  }

  private static void step(PlacerModel model, Random random, int step, long now) {
    model.endStoppingTasks(now);
    List<TaskId> running = model.runningTasks();
    switch (random.nextInt(10)) {
      case 0, 1, 2, 3 -> model.submit("j" + step, randomJob(random), now);
      case 4, 5, 6 -> {
        for (int i = 0; i < 4 && !running.isEmpty(); i++) {
          TaskId task = running.remove(random.nextInt(running.size()));
          model.end(task, pick(random, TaskOutcome.values()), now);
        }
      }
      case 7 -> model.placer.cancel("j" + random.nextInt(step + 1));
      case 8 -> changeWorker(model, "w" + random.nextInt(12), random);
      default -> {
        if (!running.isEmpty()) {
          TaskId task = running.get(random.nextInt(running.size()));
          model.placer.observeUsage(task, Specs.size(random.nextInt(6), random.nextInt(20)), now);
        }
      }
    }
  }

  private static void changeWorker(PlacerModel model, String id, Random random) {
    boolean drain = !model.draining.contains(id) && random.nextBoolean();
    if (drain) {
      model.draining.add(id);
    } else {
      model.draining.remove(id);
    }
    model.placer.setWorkerStatus(id, drain ? WorkerStatus.DRAINING : WorkerStatus.ACTIVE);
  }

  private static JobSpec randomJob(Random random) {
    WorkloadKind kind = pick(random, WorkloadKind.values());
    PriorityClass priority = pick(random, PriorityClass.values());
    Resources size =
        new Resources(
            500L * (1 + random.nextInt(10)),
            1_024L * (1 + random.nextInt(12)),
            random.nextInt(5) == 0 ? 1 : 0);
    JobSpec spec =
        Specs.job(
            "family" + random.nextInt(6),
            "team" + random.nextInt(3),
            kind,
            priority,
            1 + random.nextInt(5),
            size);
    return random.nextInt(4) == 0 ? Specs.atMostOnce(spec, random.nextBoolean()) : spec;
  }

  private static <T> T pick(Random random, T[] values) {
    return values[random.nextInt(values.length)];
  }

  private static JobSpec endingJob(Random random) {
    JobSpec spec = randomJob(random);
    WorkloadKind kind = spec.kind() == WorkloadKind.SERVICE ? WorkloadKind.BATCH : spec.kind();
    return Specs.job(
        spec.name(), spec.team(), kind, spec.priority(), spec.taskCount(), spec.resources());
  }

  private static JobSpec small() {
    return Specs.job(WorkloadKind.BATCH, PriorityClass.NORMAL, 1, Specs.size(2, 4));
  }

  private static boolean allEnded(PlacerModel model, long now) {
    return model.running.isEmpty()
        && model.jobs.keySet().stream().allMatch(id -> model.placer.explain(id, now).isEmpty());
  }

  private static Resources nonPreemptibleAllocated(PlacerModel model, String team) {
    Resources allocated = Resources.NONE;
    for (TaskId task : model.running.keySet()) {
      JobSpec spec = model.jobs.get(task.jobId());
      if (spec.team().equals(team) && PlacementState.isNonPreemptible(spec)) {
        allocated = allocated.plus(spec.resources());
      }
    }
    return allocated;
  }
}

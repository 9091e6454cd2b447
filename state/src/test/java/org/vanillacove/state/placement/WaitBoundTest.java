package org.vanillacove.state.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.PlacementDecision;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.api.WorkloadKind;

/**
 * Tests the maximum wait of the first job of a team while workers drain and tasks fail.
 *
 * <p>The wait is at most the time until a reservation is planned, two maintenance intervals and two
 * maximum run times. Without reservations, small tasks would keep whole workers from emptying.
 */
final class WaitBoundTest {
  private static final long MAX_RUN_MILLIS = 60_000;
  private static final int SUBMITTED_AT_SECOND = 200;
  private static final int WORKERS = 12;

  private final Map<TaskId, Long> ends = new HashMap<>();

  @Property(tries = 30, seed = "4717")
  void wholeWorkerTaskStartsWithinBound(@ForAll long seed) {
    long wait = waitOf(WorkloadKind.BATCH, 1, new Random(seed));
    assertThat(wait).isLessThanOrEqualTo(bound(PlacementMaintenance.TASK_RESERVATION_WAIT_MILLIS));
  }

  @Property(tries = 30, seed = "4718")
  void gangOfWholeWorkersStartsWithinBound(@ForAll long seed) {
    long wait = waitOf(WorkloadKind.GANG, 3, new Random(seed));
    assertThat(wait).isLessThanOrEqualTo(bound(PlacementMaintenance.GANG_RESERVATION_WAIT_MILLIS));
  }

  private static long bound(long reservationWait) {
    return reservationWait + 2 * PlacementMaintenance.INTERVAL_MILLIS + 2 * MAX_RUN_MILLIS;
  }

  /** Returns the wait of a job that needs whole workers during a steady stream of small tasks. */
  private long waitOf(WorkloadKind kind, int tasks, Random random) {
    ends.clear();
    PlacerModel model = new PlacerModel(new PolicyPlacer());
    for (int i = 0; i < WORKERS; i++) {
      model.addWorker(Specs.worker("w" + i, "a1", "r" + i));
    }
    for (int second = 0; second < 1_000; second++) {
      long now = second * 1_000L;
      endDue(model, now, random);
      drainNext(model, second);
      for (int i = random.nextInt(6); i > 0; i--) {
        model.submit("small" + second + "-" + i, small(random), now);
      }
      if (second == SUBMITTED_AT_SECOND) {
        model.submit("whole", Specs.job(kind, PriorityClass.NORMAL, tasks, Specs.WORKER), now);
      }
      for (PlacementDecision decision : model.decide(now, 100)) {
        TaskId task = ((PlacementDecision.Start) decision).task();
        if (task.jobId().equals("whole")) {
          return now - SUBMITTED_AT_SECOND * 1_000L;
        }
        ends.put(task, now + 1 + random.nextInt((int) MAX_RUN_MILLIS));
      }
    }
    return Long.MAX_VALUE;
  }

  private void endDue(PlacerModel model, long now, Random random) {
    List<TaskId> due = new ArrayList<>();
    ends.forEach(
        (task, at) -> {
          if (at <= now) {
            due.add(task);
          }
        });
    for (TaskId task : due) {
      ends.remove(task);
      boolean fails = random.nextInt(50) == 0;
      model.end(task, fails ? TaskOutcome.FAILED : TaskOutcome.SUCCEEDED, now);
    }
  }

  /** Drains one worker at a time, a different one every 50 s until the large job is submitted. */
  private static void drainNext(PlacerModel model, int second) {
    if (second % 50 == 0 && second < SUBMITTED_AT_SECOND) {
      model.draining.forEach(id -> model.placer.setWorkerStatus(id, WorkerStatus.ACTIVE));
      model.draining.clear();
      String id = "w" + second / 50;
      model.draining.add(id);
      model.placer.setWorkerStatus(id, WorkerStatus.DRAINING);
    }
  }

  private static JobSpec small(Random random) {
    Resources size = Specs.size(1 + random.nextInt(3), 1 + random.nextInt(4));
    return Specs.job("small", "other", WorkloadKind.BATCH, PriorityClass.NORMAL, 1, size);
  }
}

package org.vanillacove.state.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WaitReason;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.api.WorkloadKind;

/** Tests that the reason of a wait names the limiting constraint and what would end the wait. */
final class WaitExplainerTest {
  private final PolicyPlacer placer = new PolicyPlacer();

  @BeforeEach
  void addWorkers() {
    placer.addWorker(Specs.worker("w1", "a1", "r1"));
    placer.addWorker(Specs.worker("w2", "b1", "r2"));
  }

  @ParameterizedTest
  @EnumSource(WorkloadKind.class)
  void missingCapacityNamesScarceDimensionAndTaskThatFreesIt(WorkloadKind kind) {
    fill(PriorityClass.URGENT);
    placer.submit("j", job(kind, PriorityClass.NORMAL, Specs.size(4, 4)), 10);
    placer.decide(10, 10);

    WaitReason reason = explain("j", 10);
    assertThat(reason.constraint()).startsWith("room: ").contains("2 lack cpu, 0 lack memory");
    assertThat(reason.remedy()).contains("the end of task fill/").contains("expected in 60 s");
  }

  @ParameterizedTest
  @EnumSource(WorkloadKind.class)
  void missingCapacityCountsUnavailableWorkers(WorkloadKind kind) {
    placer.setWorkerStatus("w1", WorkerStatus.QUARANTINED);
    placer.setWorkerStatus("w2", WorkerStatus.QUARANTINED);
    placer.submit("j", job(kind, PriorityClass.NORMAL, Specs.size(4, 4)), 0);
    placer.decide(0, 10);

    assertThat(explain("j", 0).constraint()).contains("2 are unavailable");
  }

  @ParameterizedTest
  @EnumSource(WorkloadKind.class)
  void jobThatNoLongerFitsNamesExceededDimension(WorkloadKind kind) {
    placer.submit("j", job(kind, PriorityClass.NORMAL, Specs.size(8, 32)), 0);
    placer.setWorkerStatus("w1", WorkerStatus.LOST);
    placer.setWorkerStatus("w2", WorkerStatus.LOST);
    placer.addWorker(Specs.worker("w3", "a1", "r3", Specs.size(4, 8), Optional.empty()));
    placer.decide(0, 10);

    WaitReason reason = explain("j", 0);
    assertThat(reason.constraint())
        .startsWith("cannot run on the cell as it is now: size of a task: cpu 8000m > 4000m");
    assertThat(reason.remedy()).contains("at most 4 cores");
  }

  @ParameterizedTest
  @EnumSource(WorkloadKind.class)
  void nonPreemptibleJobOverQuotaNamesQuota(WorkloadKind kind) {
    placer.configure(new PlacementSettings(Map.of("team", Specs.size(4, 8)), 1_000, 1));
    JobSpec spec = Specs.atMostOnce(job(kind, PriorityClass.NORMAL, Specs.size(3, 4)), false);
    placer.submit("first", spec, 0);
    placer.decide(0, 10);
    placer.submit("j", spec, 0);
    placer.decide(0, 10);

    WaitReason reason = explain("j", 0);
    assertThat(reason.constraint()).startsWith("quota of team team: cpu ").contains("> 4000m");
    assertThat(reason.remedy()).contains("a higher quota");
  }

  @Test
  void gangWithReservationNamesReservedWorkers() {
    fill(PriorityClass.NORMAL);
    placer.submit("j", job(WorkloadKind.GANG, PriorityClass.NORMAL, Specs.size(8, 8)), 0);
    placer.decide(PlacementMaintenance.GANG_RESERVATION_WAIT_MILLIS, 10);

    WaitReason reason = explain("j", PlacementMaintenance.GANG_RESERVATION_WAIT_MILLIS);
    assertThat(reason.constraint()).isEqualTo("room for 2 tasks: reserved on w1, w2");
    assertThat(reason.remedy()).contains("expected in 59 s");
  }

  @Test
  void urgentJobNamesWorkerWithPreemptedTasks() {
    fill(PriorityClass.LOW);
    placer.submit("j", job(WorkloadKind.BATCH, PriorityClass.URGENT, Specs.size(8, 8)), 10);
    placer.decide(10, 10);

    assertThat(explain("j", 10).constraint())
        .startsWith("room: other tasks are being stopped on w");
    assertThat(explain("j", 10).remedy()).isEqualTo("the end of the stopped tasks");
  }

  @ParameterizedTest
  @EnumSource(WorkloadKind.class)
  void failedJobNamesBackoff(WorkloadKind kind) {
    placer.submit("j", job(kind, PriorityClass.NORMAL, Specs.size(1, 1)), 0);
    placer.decide(0, 10);
    placer.taskEnded(new TaskId("j", 0), TaskOutcome.FAILED, 100);
    placer.taskEnded(new TaskId("j", 1), TaskOutcome.FAILED, 100);

    assertThat(explain("j", 100).constraint()).startsWith("backoff: 2 failures on ");
    assertThat(explain("j", 100).remedy()).startsWith("next attempt in ");
  }

  @Test
  void runningOrUnknownJobHasNoWaitReason() {
    placer.submit("j", job(WorkloadKind.BATCH, PriorityClass.NORMAL, Specs.size(1, 1)), 0);
    placer.decide(0, 10);

    assertThat(placer.explain("j", 0)).isEmpty();
    assertThat(placer.explain("unknown", 0)).isEmpty();
  }

  private WaitReason explain(String jobId, long now) {
    return placer.explain(jobId, now).orElseThrow();
  }

  private void fill(PriorityClass priority) {
    Resources size = Specs.size(4, 4);
    placer.submit("fill", Specs.job("fill", "other", WorkloadKind.BATCH, priority, 4, size), 0);
    assertThat(placer.decide(0, 10)).hasSize(4);
  }

  private static JobSpec job(WorkloadKind kind, PriorityClass priority, Resources size) {
    return Specs.job(kind, priority, 2, size);
  }
}

package org.vanillacove.state.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.vanillacove.state.api.Admission;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.PlacementDecision;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkloadKind;

/** Tests quarantines, job failures, usage estimates, quotas and restoring after a takeover. */
final class PolicyPlacerTest {
  private final PolicyPlacer placer = new PolicyPlacer();

  @Test
  void workerFailingSeveralFamiliesIsQuarantinedAndRetriedLater() {
    placer.addWorker(Specs.worker("w1", "a1", "r1"));
    for (int i = 0; i < FailureTracker.MIN_FAILED_FAMILIES; i++) {
      placer.submit("j" + i, batch("family" + i, 1), 0);
      placer.decide(0, 10);
      placer.taskEnded(new TaskId("j" + i, 0), TaskOutcome.FAILED, 0);
    }
    assertThat(placer.quarantinedWorkers()).containsExactly("w1");
    assertThat(placer.decide(10_000, 10)).isEmpty();
    assertThat(placer.decide(FailureTracker.INITIAL_QUARANTINE_MILLIS, 10)).hasSize(1);
  }

  @Test
  void jobFailingOnSeveralWorkersDoesNotQuarantineThem() {
    for (int i = 0; i < 3; i++) {
      placer.addWorker(Specs.worker("w" + i, "a1", "r" + i));
    }
    placer.submit("bad", batch("bad", 1), 0);
    long now = 0;
    for (int i = 0; i < FailureTracker.MIN_FAILED_WORKERS; i++) {
      now += 20_000;
      assertThat(placer.decide(now, 10)).hasSize(1);
      placer.taskEnded(new TaskId("bad", 0), TaskOutcome.FAILED, now);
    }
    assertThat(placer.quarantinedWorkers()).isEmpty();
    assertThat(placer.explain("bad", now).orElseThrow().constraint()).contains("itself");
  }

  @Test
  void committedSizeFollowsObservedUsageOfFamily() {
    placer.addWorker(Specs.worker("w1", "a1", "r1"));
    for (int i = 0; i < UsageEstimator.MIN_SAMPLES; i++) {
      placer.submit("j" + i, batch("greedy", 1), 0);
      placer.decide(0, 10);
      placer.observeUsage(new TaskId("j" + i, 0), Specs.size(4, 8), 1);
      placer.taskEnded(new TaskId("j" + i, 0), TaskOutcome.SUCCEEDED, 1_000);
    }
    placer.submit("next", batch("greedy", 4), 2_000);
    assertThat(placer.decide(2_000, 10)).hasSize(2);
  }

  @Test
  void nonPreemptibleTasksStayWithinQuota() {
    placer.addWorker(Specs.worker("w1", "a1", "r1"));
    placer.configure(new PlacementSettings(Map.of("team", Specs.size(2, 4)), 1_000, 1));
    JobSpec service = Specs.job(WorkloadKind.SERVICE, PriorityClass.NORMAL, 2, Specs.size(2, 4));
    assertThat(placer.check(service)).isInstanceOf(Admission.NeverFits.class);
    placer.submit("svc", service, 0);
    assertThat(placer.decide(0, 10)).hasSize(1);
    assertThat(placer.explain("svc", 0).orElseThrow().constraint()).startsWith("quota of team");
  }

  @Test
  void restoredTasksAreNotStartedAgainAfterTakeover() {
    placer.addWorker(Specs.worker("w1", "a1", "r1"));
    placer.submit("j", batch("family", 4), 0);
    placer.restore(new TaskId("j", 1), "w1", 0);
    placer.restore(new TaskId("j", 2), "gone", 0);
    placer.taskEnded(new TaskId("j", 0), TaskOutcome.SUCCEEDED, 1);
    List<PlacementDecision> decisions = placer.decide(1, 10);
    assertThat(decisions).containsExactly(new PlacementDecision.Start(new TaskId("j", 3), "w1"));
  }

  private static JobSpec batch(String family, int tasks) {
    Resources size = Specs.size(2, 4);
    return Specs.job(family, "team", WorkloadKind.BATCH, PriorityClass.NORMAL, tasks, size);
  }
}

package org.vanillacove.coordination.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.vanillacove.coordination.api.CellView;
import org.vanillacove.standin.memory.WorkerModel;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.PlacementConstraints;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.api.WorkloadKind;
import org.vanillacove.state.placement.PolicyPlacer;

/** Tests that quarantines are recorded, shown with their reason and survive a leader failure. */
final class QuarantineTest {
  private final TestCell cell = new TestCell(3, 1, PolicyPlacer::new);

  @Test
  void quarantineSurvivesLeaderFailureAndEndsInProbation() {
    failUnlikeJobs();

    assertThat(worker().status()).isEqualTo(WorkerStatus.QUARANTINED);
    assertThat(worker().reason()).startsWith("automatic: unlike jobs failed: team/a, team/b");

    cell.kill(cell.leader().orElseThrow().self().id());
    cell.advanceSeconds(10);
    submit("good", "good");
    cell.advanceSeconds(100);
    assertThat(cell.leader()).isPresent();
    assertThat(worker().status()).isEqualTo(WorkerStatus.QUARANTINED);
    assertThat(cell.startsOf(new TaskId("good", 0))).isZero();

    cell.advanceSeconds(300);
    assertThat(cell.startsOf(new TaskId("good", 0))).isEqualTo(1);
    assertThat(worker().status()).isEqualTo(WorkerStatus.ACTIVE);
    assertThat(worker().reason()).startsWith("on probation: unlike jobs failed: team/a, team/b");
  }

  @Test
  void operatorEndsQuarantineWithoutProbation() {
    failUnlikeJobs();
    cell.node().changeWorker("w0", WorkerStatus.ACTIVE, "disk replaced", TestCell.DEADLINE);
    cell.advanceSeconds(5);
    submit("good", "good");
    cell.advanceSeconds(5);

    assertThat(worker().status()).isEqualTo(WorkerStatus.ACTIVE);
    assertThat(worker().reason()).isEqualTo("disk replaced");
    assertThat(cell.startsOf(new TaskId("good", 0))).isEqualTo(1);
  }

  @Test
  void quarantineByOperatorDoesNotExpire() {
    cell.awaitReady();
    cell.node().changeWorker("w0", WorkerStatus.QUARANTINED, "under test", TestCell.DEADLINE);
    cell.advanceSeconds(600);

    assertThat(worker().status()).isEqualTo(WorkerStatus.QUARANTINED);
    assertThat(worker().reason()).isEqualTo("under test");
  }

  private void failUnlikeJobs() {
    cell.plannedEnds.put("bad", new WorkerModel.PlannedEnd(1_000, TaskOutcome.FAILED));
    cell.awaitReady();
    for (String name : new String[] {"a", "b", "c"}) {
      submit(name, "bad");
    }
    cell.advanceSeconds(10);
    for (String name : new String[] {"a", "b", "c"}) {
      cell.node().cancelJob(name, "bad", TestCell.DEADLINE);
    }
    cell.advanceSeconds(2);
  }

  private CellView.WorkerView worker() {
    return cell.node().workers().getFirst();
  }

  private void submit(String name, String command) {
    JobSpec spec =
        new JobSpec(
            name,
            "team",
            WorkloadKind.BATCH,
            PriorityClass.NORMAL,
            1,
            new Resources(1_000, 1_024, 0),
            PlacementConstraints.ANY,
            RerunPolicy.RERUN,
            LossPolicy.MOVE,
            false,
            0,
            command);
    cell.node().submitJob(name, spec, TestCell.DEADLINE);
  }
}

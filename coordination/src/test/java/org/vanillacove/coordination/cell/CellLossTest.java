package org.vanillacove.coordination.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillacove.coordination.api.CellView;
import org.vanillacove.standin.memory.WorkerModel;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkloadKind;

/**
 * Tests that a job settles when its region is declared lost at any moment of a task's life,
 * including while the record or the command of its start is in progress.
 */
class CellLossTest {
  private static final String WORKER = "w0";

  @ParameterizedTest
  @CsvSource({
    "RERUN, 0, 400, 20",
    "AT_MOST_ONCE, 0, 400, 20",
    "RERUN, 3000, 9000, 100",
    "AT_MOST_ONCE, 3000, 9000, 100"
  })
  void jobSettlesWhenItsRegionIsDeclaredLostAtAnyTime(
      RerunPolicy rerun, int from, int to, int step) {
    TreeSet<Integer> unsettledDelays = new TreeSet<>();
    for (int delay = from; delay <= to; delay += step) {
      CellView.JobView job = jobAfterLoss(rerun, delay);
      if (!job.tasks().stream().allMatch(CellView.TaskView::settled)) {
        unsettledDelays.add(delay);
      }
    }

    assertThat(unsettledDelays).isEmpty();
  }

  private static CellView.JobView jobAfterLoss(RerunPolicy rerun, int delayMillis) {
    TestCell cell = new TestCell(3, 3);
    cell.plannedEnds.put("run", new WorkerModel.PlannedEnd(3_000, TaskOutcome.SUCCEEDED));
    cell.awaitReady();
    cell.node()
        .submitJob(
            "job", TestCell.job(WorkloadKind.BATCH, 1, rerun, LossPolicy.MOVE), TestCell.DEADLINE);
    cell.timer.advance(delayMillis);
    cell.gateway.setUnreachable(WORKER, true);
    cell.workers.get(WORKER).reboot();
    cell.nodes
        .get("h1")
        .declareLost(TestCell.zone(0).region(), Optional.empty(), "flood", TestCell.DEADLINE);
    cell.advanceSeconds(30);
    return cell.nodes.get("h1").job("job").orElseThrow();
  }
}

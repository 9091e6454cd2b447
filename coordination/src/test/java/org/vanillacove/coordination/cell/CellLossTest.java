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

/** Tests the declaration that a region is lost at many moments of a task's life. */
class CellLossTest {
  private static final String WORKER = "w0";

  @ParameterizedTest
  @CsvSource({
    "RERUN, 0, 400, 20",
    "AT_MOST_ONCE, 0, 400, 20",
    "RERUN, 3000, 9000, 100",
    "AT_MOST_ONCE, 3000, 9000, 100"
  })
  void jobSettlesWheneverItsRegionIsLost(RerunPolicy rerun, int from, int to, int step) {
    TreeSet<Integer> waiting = new TreeSet<>();
    for (int delay = from; delay <= to; delay += step) {
      CellView.JobView job = jobAfterLoss(rerun, delay);
      if (!job.tasks().stream().allMatch(CellView.TaskView::settled)) {
        waiting.add(delay);
      }
    }

    assertThat(waiting).isEmpty();
  }

  private static CellView.JobView jobAfterLoss(RerunPolicy rerun, int delayMillis) {
    TestCell cell = new TestCell(3, 3);
    cell.ends.put("run", new WorkerModel.PlannedEnd(3_000, TaskOutcome.SUCCEEDED));
    cell.settle();
    cell.node()
        .submitJob(
            "job", TestCell.job(WorkloadKind.BATCH, 1, rerun, LossPolicy.MOVE), TestCell.DEADLINE);
    cell.timer.advance(delayMillis);
    cell.gateway.setCutOff(WORKER, true);
    cell.workers.get(WORKER).reboot();
    cell.nodes
        .get("h1")
        .declareLost(TestCell.zone(0).region(), Optional.empty(), "flood", TestCell.DEADLINE);
    cell.seconds(30);
    return cell.nodes.get("h1").job("job").orElseThrow();
  }
}

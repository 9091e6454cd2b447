package org.vanillacove.coordination.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillacove.coordination.api.CellTimings;
import org.vanillacove.coordination.api.CellView;
import org.vanillacove.coordination.api.ProposalOutcome;
import org.vanillacove.standin.memory.WorkerModel;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkloadKind;

/** Tests {@link CellNode}: running jobs, takeover by another host, and leaving. */
class CellNodeTest {
  private static final TaskId TASK = new TaskId("job-1", 0);

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 9})
  void jobRunsToCompletion(int hosts) {
    TestCell cell = new TestCell(hosts, 3);
    cell.plannedEnds.put("run", new WorkerModel.PlannedEnd(40_000, TaskOutcome.SUCCEEDED));
    cell.awaitReady();

    CompletableFuture<ProposalOutcome> submitted = submit(cell, RerunPolicy.RERUN, LossPolicy.MOVE);
    cell.advanceSeconds(2);

    assertThat(submitted).isCompletedWithValueMatching(o -> o instanceof ProposalOutcome.Accepted);
    assertThat(cell.workersRunning(TASK)).hasSize(1);
    cell.advanceSeconds(30);
    assertThat(cell.workersRunning(TASK)).hasSize(1);
    cell.advanceSeconds(20);
    CellView.TaskView task = cell.node().job("job-1").orElseThrow().tasks().getFirst();
    assertThat(task)
        .isEqualTo(
            new CellView.TaskView(
                0, 1, Optional.empty(), Optional.of(TaskOutcome.SUCCEEDED), true));
  }

  @Test
  void anotherHostTakesOverFromFailedLeader() {
    TestCell cell = new TestCell(3, 3);
    cell.awaitReady();
    submit(cell, RerunPolicy.RERUN, LossPolicy.MOVE);
    cell.advanceSeconds(2);
    String first = cell.leader().orElseThrow().self().id();

    cell.kill(first);
    cell.advanceSeconds(5);
    CompletableFuture<ProposalOutcome> second =
        cell.node()
            .submitJob(
                "job-2",
                TestCell.job(WorkloadKind.BATCH, 1, RerunPolicy.RERUN, LossPolicy.MOVE),
                TestCell.DEADLINE);
    cell.advanceSeconds(2);

    assertThat(cell.leader().orElseThrow().self().id()).isNotEqualTo(first);
    assertThat(second).isCompletedWithValueMatching(o -> o instanceof ProposalOutcome.Accepted);
    assertThat(cell.workersRunning(new TaskId("job-2", 0))).hasSize(1);
    cell.advanceSeconds(60);
    assertThat(cell.workersRunning(TASK)).hasSize(1);
    assertThat(cell.startsOf(TASK)).isEqualTo(1);
  }

  @Test
  void hostsThatLeaveTogetherDoNotWaitForEachOther() {
    TestCell cell = new TestCell(3, 3);
    cell.awaitReady();
    List<CompletableFuture<Void>> left = cell.nodes.values().stream().map(CellNode::leave).toList();
    cell.advanceSeconds(2);

    assertThat(left).allSatisfy(done -> assertThat(done).isCompleted());
  }

  @Test
  void hostLeavesOnceItSuspectsAllOtherHosts() {
    TestCell cell = new TestCell(3, 3);
    cell.awaitReady();
    CellNode leader = cell.leader().orElseThrow();
    cell.nodes.keySet().stream()
        .filter(id -> !id.equals(leader.self().id()))
        .toList()
        .forEach(cell::kill);
    CompletableFuture<Void> left = leader.leave();
    cell.timer.advance(CellTimings.DEFAULTS.suspicion().toMillis() + 1_500);

    assertThat(left).isCompleted();
  }

  @Test
  void jobSubmittedTwiceIsRecordedOnceInTheTimeline() {
    TestCell cell = new TestCell(3, 3);
    cell.awaitReady();
    for (int i = 0; i < 2; i++) {
      submit(cell, RerunPolicy.RERUN, LossPolicy.MOVE);
      cell.advanceSeconds(2);
    }

    assertThat(cell.events).filteredOn(event -> event.contains("job-accepted")).hasSize(1);
  }

  private static CompletableFuture<ProposalOutcome> submit(
      TestCell cell, RerunPolicy rerun, LossPolicy loss) {
    return cell.node()
        .submitJob("job-1", TestCell.job(WorkloadKind.BATCH, 1, rerun, loss), TestCell.DEADLINE);
  }
}

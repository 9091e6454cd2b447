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

/** Tests {@link CellNode}. */
class CellNodeTest {
  private static final TaskId TASK = new TaskId("job-1", 0);

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 9})
  void jobRunsToItsEnd(int hosts) {
    TestCell cell = new TestCell(hosts, 3);
    cell.ends.put("run", new WorkerModel.PlannedEnd(40_000, TaskOutcome.SUCCEEDED));
    cell.settle();

    CompletableFuture<ProposalOutcome> submitted = submit(cell, RerunPolicy.RERUN, LossPolicy.MOVE);
    cell.seconds(2);

    assertThat(submitted).isCompletedWithValueMatching(o -> o instanceof ProposalOutcome.Accepted);
    assertThat(cell.placesOf(TASK)).hasSize(1);
    cell.seconds(30);
    assertThat(cell.placesOf(TASK)).hasSize(1);
    cell.seconds(20);
    CellView.TaskView task = cell.node().job("job-1").orElseThrow().tasks().getFirst();
    assertThat(task)
        .isEqualTo(
            new CellView.TaskView(
                0, 1, Optional.empty(), Optional.of(TaskOutcome.SUCCEEDED), true));
  }

  @Test
  void anotherHostTakesOverFromDeadLeader() {
    TestCell cell = new TestCell(3, 3);
    cell.settle();
    submit(cell, RerunPolicy.RERUN, LossPolicy.MOVE);
    cell.seconds(2);
    String first = cell.leader().orElseThrow().self().id();

    cell.kill(first);
    cell.seconds(5);
    CompletableFuture<ProposalOutcome> second =
        cell.node()
            .submitJob(
                "job-2",
                TestCell.job(WorkloadKind.BATCH, 1, RerunPolicy.RERUN, LossPolicy.MOVE),
                TestCell.DEADLINE);
    cell.seconds(2);

    assertThat(cell.leader().orElseThrow().self().id()).isNotEqualTo(first);
    assertThat(second).isCompletedWithValueMatching(o -> o instanceof ProposalOutcome.Accepted);
    assertThat(cell.placesOf(new TaskId("job-2", 0))).hasSize(1);
    cell.seconds(60);
    assertThat(cell.placesOf(TASK)).hasSize(1);
    assertThat(cell.starts(TASK)).isEqualTo(1);
  }

  @Test
  void hostsThatLeaveTogetherDoNotWaitForEachOther() {
    TestCell cell = new TestCell(3, 3);
    cell.settle();
    List<CompletableFuture<Void>> left = cell.nodes.values().stream().map(CellNode::leave).toList();
    cell.seconds(2);

    assertThat(left).allSatisfy(done -> assertThat(done).isCompleted());
  }

  @Test
  void hostWhoseNeighboursAreDeadLeavesOnceItSuspectsThem() {
    TestCell cell = new TestCell(3, 3);
    cell.settle();
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
  void jobThatIsSubmittedTwiceShowsOnceInTheTimeLine() {
    TestCell cell = new TestCell(3, 3);
    cell.settle();
    for (int i = 0; i < 2; i++) {
      submit(cell, RerunPolicy.RERUN, LossPolicy.MOVE);
      cell.seconds(2);
    }

    assertThat(cell.events).filteredOn(event -> event.contains("job-accepted")).hasSize(1);
  }

  private static CompletableFuture<ProposalOutcome> submit(
      TestCell cell, RerunPolicy rerun, LossPolicy loss) {
    return cell.node()
        .submitJob("job-1", TestCell.job(WorkloadKind.BATCH, 1, rerun, loss), TestCell.DEADLINE);
  }
}

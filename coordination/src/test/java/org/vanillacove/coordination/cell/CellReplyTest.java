package org.vanillacove.coordination.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.vanillacove.coordination.api.CellView;
import org.vanillacove.standin.memory.WorkerModel;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkloadKind;

/** Tests what a cell makes of replies to renewals, which show changes only. */
class CellReplyTest {
  private static final int TASKS = 4;
  private static final TaskId TASK = new TaskId("job", 0);
  private final TestCell cell = new TestCell(3, 3);

  @ParameterizedTest
  @EnumSource(ReplyFaultGateway.Fault.class)
  void everyEndIsLearntOnce(ReplyFaultGateway.Fault fault) {
    cell.ends.put("run", new WorkerModel.PlannedEnd(7_000, TaskOutcome.SUCCEEDED));
    cell.settle();
    cell.replies.fault = fault;
    submit(WorkloadKind.BATCH, TASKS, RerunPolicy.AT_MOST_ONCE);
    cell.seconds(75);

    assertThat(cell.node().job("job").orElseThrow().tasks())
        .allSatisfy(task -> assertThat(task.outcome()).contains(TaskOutcome.SUCCEEDED));
    for (int i = 0; i < TASKS; i++) {
      assertThat(cell.starts(new TaskId("job", i))).isEqualTo(1);
    }
  }

  @ParameterizedTest
  @EnumSource(ReplyFaultGateway.Fault.class)
  void runningTaskIsNeitherEndedNorStartedAgain(ReplyFaultGateway.Fault fault) {
    cell.settle();
    cell.replies.fault = fault;
    submit(WorkloadKind.SERVICE, 1, RerunPolicy.RERUN);
    cell.seconds(150);

    assertThat(cell.placesOf(TASK)).hasSize(1);
    assertThat(cell.starts(TASK)).isEqualTo(1);
  }

  @Test
  void tasksOfRebootedWorkerRestartAtTheNextRenewal() {
    cell.settle();
    submit(WorkloadKind.SERVICE, 1, RerunPolicy.RERUN);
    cell.seconds(10);
    cell.workers.get(cell.placesOf(TASK).getFirst()).reboot();
    cell.seconds(8);

    assertThat(cell.placesOf(TASK)).hasSize(1);
  }

  @Test
  void taskOfWorkerThatRefusesConnectionsRestartsElsewhere() {
    cell.settle();
    submit(WorkloadKind.SERVICE, 1, RerunPolicy.RERUN);
    cell.seconds(10);
    String dead = cell.placesOf(TASK).getFirst();
    cell.replies.refusing.add(dead);
    cell.seconds(40);

    assertThat(cell.placesOf(TASK)).hasSize(1).doesNotContain(dead);
    CellView.TaskView task = cell.node().job("job").orElseThrow().tasks().getFirst();
    assertThat(task.workerId()).contains(cell.placesOf(TASK).getFirst());
  }

  private void submit(WorkloadKind kind, int tasks, RerunPolicy rerun) {
    cell.node()
        .submitJob("job", TestCell.job(kind, tasks, rerun, LossPolicy.MOVE), TestCell.DEADLINE);
    cell.seconds(2);
  }
}

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

/**
 * Tests how a cell handles lost, duplicate and late replies to lease renewals. Replies report only
 * changes, so a lost one must not lose the end of a task.
 */
class CellReplyTest {
  private static final int TASKS = 4;
  private static final TaskId TASK = new TaskId("job", 0);
  private final TestCell cell = new TestCell(3, 3);

  @ParameterizedTest
  @EnumSource(FaultyReplyGateway.Fault.class)
  void everyTaskEndIsRecordedDespiteReplyFaults(FaultyReplyGateway.Fault fault) {
    cell.plannedEnds.put("run", new WorkerModel.PlannedEnd(7_000, TaskOutcome.SUCCEEDED));
    cell.awaitReady();
    cell.replies.fault = fault;
    submit(WorkloadKind.BATCH, TASKS, RerunPolicy.AT_MOST_ONCE);
    cell.advanceSeconds(75);

    assertThat(cell.node().job("job").orElseThrow().tasks())
        .allSatisfy(task -> assertThat(task.outcome()).contains(TaskOutcome.SUCCEEDED));
    for (int i = 0; i < TASKS; i++) {
      assertThat(cell.startsOf(new TaskId("job", i))).isEqualTo(1);
    }
  }

  @ParameterizedTest
  @EnumSource(FaultyReplyGateway.Fault.class)
  void runningTaskIsNotRestartedByReplyFaults(FaultyReplyGateway.Fault fault) {
    cell.awaitReady();
    cell.replies.fault = fault;
    submit(WorkloadKind.SERVICE, 1, RerunPolicy.RERUN);
    cell.advanceSeconds(150);

    assertThat(cell.workersRunning(TASK)).hasSize(1);
    assertThat(cell.startsOf(TASK)).isEqualTo(1);
  }

  @Test
  void tasksOfRebootedWorkerRestartAfterNextRenewal() {
    cell.awaitReady();
    submit(WorkloadKind.SERVICE, 1, RerunPolicy.RERUN);
    cell.advanceSeconds(10);
    cell.workers.get(cell.workersRunning(TASK).getFirst()).reboot();
    cell.advanceSeconds(8);

    assertThat(cell.workersRunning(TASK)).hasSize(1);
  }

  @Test
  void taskOfWorkerThatRefusesConnectionsRestartsElsewhere() {
    cell.awaitReady();
    submit(WorkloadKind.SERVICE, 1, RerunPolicy.RERUN);
    cell.advanceSeconds(10);
    String refusingWorker = cell.workersRunning(TASK).getFirst();
    cell.replies.refusingWorkers.add(refusingWorker);
    cell.advanceSeconds(40);

    assertThat(cell.workersRunning(TASK)).hasSize(1).doesNotContain(refusingWorker);
    CellView.TaskView task = cell.node().job("job").orElseThrow().tasks().getFirst();
    assertThat(task.workerId()).contains(cell.workersRunning(TASK).getFirst());
  }

  private void submit(WorkloadKind kind, int tasks, RerunPolicy rerun) {
    cell.node()
        .submitJob("job", TestCell.job(kind, tasks, rerun, LossPolicy.MOVE), TestCell.DEADLINE);
    cell.advanceSeconds(2);
  }
}

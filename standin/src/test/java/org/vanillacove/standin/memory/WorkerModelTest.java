package org.vanillacove.standin.memory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vanillacove.protocol.platform.TaskReport;
import org.vanillacove.protocol.platform.WorkerCommand;
import org.vanillacove.protocol.platform.WorkerReply;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerSpec;

/** Tests {@link WorkerModel}. */
class WorkerModelTest {
  private static final TaskId TASK = new TaskId("job", 0);
  private final ManualTimerService timer = new ManualTimerService(0);
  private final WorkerSpec spec =
      new WorkerSpec(
          "w1",
          "127.0.0.1:1",
          new AvailabilityZone("attica", "attica-a"),
          "r1",
          new Resources(4_000, 8_192, 0),
          Optional.empty(),
          Map.of());
  private final WorkerModel worker = new WorkerModel(spec, timer, start -> Optional.empty());

  @Test
  void taskStopsWhenItsLeaseExpires() {
    worker.handle(start(1, 1, 4_000));

    timer.advance(1_000);

    assertThat(worker.runningTasks()).isEmpty();
    WorkerReply.Done reply = (WorkerReply.Done) worker.handle(new WorkerCommand.Fence(1));
    assertThat(reply.tasks()).extracting("ended").containsExactly(Optional.of(TaskOutcome.LOST));
  }

  @Test
  void oldEpochIsRejected() {
    worker.handle(new WorkerCommand.Fence(5));

    assertThat(worker.handle(start(4, 1, 1_000))).isEqualTo(new WorkerReply.Stale(5));
    assertThat(worker.runningTasks()).isEmpty();
  }

  @Test
  void repeatedStartRunsOnce() {
    worker.handle(start(1, 1, 1_000));
    worker.handle(start(1, 1, 1_000));

    assertThat(worker.startCount(TASK)).isEqualTo(1);
  }

  @Test
  void startBeyondCapacityIsRefused() {
    assertThat(worker.handle(start(1, 1, 4_001))).isInstanceOf(WorkerReply.Refused.class);
  }

  @Test
  void renewalReportsEachChangeOnce() {
    worker.handle(new WorkerCommand.Fence(1));
    worker.handle(start(1, 1, 1_000));

    assertThat(renew()).containsExactly(Optional.empty());
    assertThat(renew()).isEmpty();
    worker.handle(new WorkerCommand.Stop(1, TASK, 1, false));
    assertThat(renew()).containsExactly(Optional.of(TaskOutcome.CANCELLED));
    assertThat(renew()).isEmpty();
  }

  @Test
  void inventoryIncludesEndsAlreadyReported() {
    worker.handle(new WorkerCommand.Fence(1));
    worker.handle(start(1, 1, 1_000));
    worker.handle(new WorkerCommand.Stop(1, TASK, 1, false));
    renew();

    assertThat(ends(worker.handle(new WorkerCommand.Fence(1))))
        .containsExactly(Optional.of(TaskOutcome.CANCELLED));
  }

  @Test
  void attemptThatEndedIsNotStartedAgain() {
    worker.handle(start(1, 1, 1_000));
    worker.handle(new WorkerCommand.Stop(1, TASK, 1, false));

    assertThat(ends(worker.handle(start(1, 1, 1_000))))
        .containsExactly(Optional.of(TaskOutcome.CANCELLED));
    assertThat(worker.runningTasks()).isEmpty();
  }

  @Test
  void renewalIsRefusedAfterRebootUntilTheInventoryIsRead() {
    worker.handle(new WorkerCommand.Fence(1));
    worker.reboot();

    assertThat(worker.handle(new WorkerCommand.Renew(1, 1_000, false)))
        .isInstanceOf(WorkerReply.Refused.class);
    worker.handle(new WorkerCommand.Fence(1));
    assertThat(renew()).isEmpty();
  }

  private List<Optional<TaskOutcome>> renew() {
    return ends(worker.handle(new WorkerCommand.Renew(1, 1_000, false)));
  }

  private static List<Optional<TaskOutcome>> ends(WorkerReply reply) {
    return ((WorkerReply.Done) reply).tasks().stream().map(TaskReport::ended).toList();
  }

  private static WorkerCommand.Start start(long epoch, int attempt, long cpuMillis) {
    return new WorkerCommand.Start(
        epoch, TASK, attempt, new Resources(cpuMillis, 100, 0), LossPolicy.MOVE, 1_000, "run");
  }
}

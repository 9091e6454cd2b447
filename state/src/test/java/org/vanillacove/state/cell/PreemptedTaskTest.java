package org.vanillacove.state.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.PlacementConstraints;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.StartMode;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkloadKind;

/** Tests that an at-most-once task is restarted after preemption only from a checkpoint. */
final class PreemptedTaskTest {
  private static final TaskId TASK = new TaskId("job", 0);
  private static final Resources SIZE = new Resources(1_000, 1_024, 0);

  private final CellState state = new CellState();
  private long offset;

  @Test
  void preemptedTaskWithCheckpointIsPendingAgain() {
    accept(true);
    assertThat(start(1)).isInstanceOf(ApplyOutcome.Applied.class);
    end(1, TaskOutcome.PREEMPTED);

    assertThat(state.task(TASK).orElseThrow().isPending()).isTrue();
    assertThat(start(1)).isInstanceOf(ApplyOutcome.Invalid.class);
    assertThat(start(2)).isInstanceOf(ApplyOutcome.Applied.class);
    assertThat(start(3)).isInstanceOf(ApplyOutcome.Invalid.class);
  }

  @Test
  void preemptedTaskWithoutCheckpointIsSettled() {
    accept(false);
    start(1);
    end(1, TaskOutcome.PREEMPTED);

    assertThat(start(2)).isInstanceOf(ApplyOutcome.Invalid.class);
    assertThat(state.job("job").orElseThrow().isSettled()).isTrue();
  }

  @ParameterizedTest
  @ValueSource(strings = {"LOST", "UNKNOWN", "FAILED"})
  void checkpointableTaskIsNotRestartedAfterOtherOutcomes(String outcome) {
    accept(true);
    start(1);
    end(1, TaskOutcome.valueOf(outcome));

    assertThat(start(2)).isInstanceOf(ApplyOutcome.Invalid.class);
  }

  private void accept(boolean checkpointable) {
    WorkerSpec worker =
        new WorkerSpec(
            "w1",
            "127.0.0.1:1",
            new AvailabilityZone("region", "zone"),
            "rack",
            SIZE,
            Optional.empty(),
            Map.of());
    JobSpec spec =
        new JobSpec(
            "name",
            "team",
            WorkloadKind.BATCH,
            PriorityClass.LOW,
            1,
            SIZE,
            PlacementConstraints.ANY,
            RerunPolicy.AT_MOST_ONCE,
            LossPolicy.MOVE,
            checkpointable,
            0,
            "run");
    apply(1, new CellRecord.LeaderClaimed("h1"));
    apply(1, new CellRecord.WorkerJoined(worker));
    apply(1, new CellRecord.JobAccepted("job", spec, 0));
  }

  private ApplyOutcome start(int attempt) {
    return apply(1, new CellRecord.TaskStarted(TASK, attempt, "w1", StartMode.WRITE_AHEAD));
  }

  private void end(int attempt, TaskOutcome outcome) {
    assertThat(apply(1, new CellRecord.TaskEnded(TASK, attempt, outcome)))
        .isInstanceOf(ApplyOutcome.Applied.class);
  }

  private ApplyOutcome apply(long epoch, CellRecord record) {
    offset++;
    return state.apply(
        offset, new RecordEnvelope(new ProposalId("h1", offset).toString(), epoch, "h1", record));
  }
}

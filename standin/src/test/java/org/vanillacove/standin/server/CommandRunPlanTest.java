package org.vanillacove.standin.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillacove.protocol.platform.WorkerCommand;
import org.vanillacove.standin.memory.WorkerModel;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;

/** Tests of {@link CommandRunPlan}. */
class CommandRunPlanTest {
  private final CommandRunPlan plan = new CommandRunPlan(Duration.ofSeconds(9));

  @ParameterizedTest
  @CsvSource({
    "sleep 2.5, 2500, SUCCEEDED",
    "fail 1, 1000, FAILED",
    "fail, 9000, FAILED",
    "sleep -1, 9000, SUCCEEDED",
    "sleep soon, 9000, SUCCEEDED",
    "mould 7, 9000, SUCCEEDED",
    "'', 9000, SUCCEEDED"
  })
  void commandDeterminesRunTimeAndOutcome(String command, long millis, TaskOutcome outcome) {
    assertThat(plan.plan(start(command))).contains(new WorkerModel.PlannedEnd(millis, outcome));
  }

  @Test
  void serveRunsUntilStopped() {
    assertThat(plan.plan(start("serve"))).isEqualTo(Optional.empty());
  }

  private static WorkerCommand.Start start(String command) {
    return new WorkerCommand.Start(
        1, new TaskId("job", 0), 1, Resources.NONE, LossPolicy.MOVE, 1_000, command);
  }
}

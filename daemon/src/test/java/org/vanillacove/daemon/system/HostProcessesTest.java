package org.vanillacove.daemon.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.vanillacove.standin.server.FaultSwitch;

/** Kills and freezes entry hosts, and takes the platform's log away from them. */
class HostProcessesTest {
  @RegisterExtension private final RunningCellExtension running = new RunningCellExtension();

  @Test
  void killedLeaderIsReplacedAndNothingRunsTwice() throws InterruptedException {
    int dead = running.cell().leader().orElseThrow();
    int other = (dead + 1) % RunningCellExtension.HOSTS;
    running.steps().submitAndRun(other, "planner", CellSteps.SERVICE, 3);
    running.steps().submitAndRun(other, "report", CellSteps.ONCE, 2);

    running.cell().kill(dead);

    assertThat(running.cell().guest(other, HttpMethod.GET, "/stock").join().status().code())
        .isEqualTo(200);
    CellSteps.eventually(
        () -> running.cell().leader().filter(leader -> leader != dead).isPresent());
    running.steps().submitAndRun(other, "later", CellSteps.SERVICE, 3);
    running.steps().assertRunsOnce("report", 2);
    running.steps().assertRunsOnce("planner", 3);
  }

  @Test
  void frozenLeaderDoesNoHarmWhenItWakes() throws IOException, InterruptedException {
    int frozen = running.cell().leader().orElseThrow();
    int other = (frozen + 1) % RunningCellExtension.HOSTS;
    running.steps().submitAndRun(other, "report", CellSteps.ONCE, 2);
    running.steps().submitAndRun(other, "planner", CellSteps.SERVICE, 3);

    running.cell().freeze(frozen);
    CellSteps.eventually(
        () ->
            running
                .steps()
                .leaderSeenBy(other)
                .filter(id -> !id.equals(HostProcesses.name(frozen)))
                .isPresent());
    running.steps().submitAndRun(other, "meanwhile", CellSteps.SERVICE, 3);
    running.cell().thaw(frozen);

    CellSteps.eventually(
        () -> running.steps().leaderSeenBy(frozen).equals(running.steps().leaderSeenBy(other)));
    running.steps().submitAndRun(frozen, "after", CellSteps.SERVICE, 3);
    for (String job : List.of("planner", "meanwhile", "after")) {
      assertThat(running.steps().places(job, 3)).as(job).containsOnly(1L);
    }
    assertThat(running.steps().starts("report", 2)).containsOnly(1);
  }

  @Test
  void frozenHostThatDoesNotLeadDoesNoHarmWhenItWakes() throws IOException, InterruptedException {
    int leader = running.cell().leader().orElseThrow();
    int frozen = (leader + 1) % RunningCellExtension.HOSTS;
    running.steps().submitAndRun(leader, "report", CellSteps.ONCE, 2);
    running.steps().submitAndRun(leader, "planner", CellSteps.SERVICE, 3);

    running.cell().freeze(frozen);
    CellSteps.eventually(() -> running.cell().seesGone(leader, frozen));
    running.steps().submitAndRun(leader, "meanwhile", CellSteps.SERVICE, 3);
    running.cell().thaw(frozen);

    CellSteps.eventually(() -> !running.cell().seesGone(leader, frozen));
    running.steps().submitAndRun(frozen, "after", CellSteps.SERVICE, 3);
    CellSteps.eventually(() -> running.steps().isAnswered(frozen, "/stock"));
    assertThat(running.steps().leaderSeenBy(frozen)).contains(HostProcesses.name(leader));
    running.steps().assertRunsOnce("report", 2);
    running.steps().assertRunsOnce("planner", 3);
    running.steps().assertRunsOnce("meanwhile", 3);
  }

  @Test
  void logOutageRefusesSubmissionsAndStopsNothing() {
    running.steps().submitAndRun(0, "planner", CellSteps.SERVICE, 3);

    running.cell().platform.server().logFaults().setMode(FaultSwitch.Mode.REFUSING);
    String result =
        running.cell().submit(0, "refused", CellSteps.ONCE).orElseThrow().path("result").asText();

    assertThat(result).isIn("REFUSED", "UNKNOWN");
    assertThat(running.cell().guest(1, HttpMethod.GET, "/stock").join().status().code())
        .isEqualTo(200);
    assertThat(running.steps().places("planner", 3)).containsOnly(1L);
    running.cell().platform.server().logFaults().setMode(FaultSwitch.Mode.NONE);
    running.steps().submitAndRun(0, "accepted", CellSteps.ONCE, 2);
    if (result.equals("REFUSED")) {
      assertThat(running.steps().starts("refused", 2)).containsOnly(0);
    }
  }
}

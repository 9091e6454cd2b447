package org.vanillacove.daemon.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.vanillacove.standin.server.FaultSwitch;

/**
 * Kills and suspends entry hosts and makes the platform's log unavailable. A suspended leader is
 * replaced and still believes that it leads when it resumes.
 */
class HostProcessesTest {
  @RegisterExtension private final RunningCellExtension running = new RunningCellExtension();

  @Test
  void killedLeaderIsReplacedAndNothingRunsTwice() throws InterruptedException {
    int killed = running.cell().leader().orElseThrow();
    int other = (killed + 1) % RunningCellExtension.HOSTS;
    running.steps().submitAndRun(other, "planner", CellSteps.SERVICE, 3);
    running.steps().submitAndRun(other, "report", CellSteps.AT_MOST_ONCE_BATCH, 2);

    running.cell().kill(killed);

    assertThat(
            running.cell().sendGuestRequest(other, HttpMethod.GET, "/stock").join().status().code())
        .isEqualTo(200);
    CellSteps.awaitUntil(
        () -> running.cell().leader().filter(leader -> leader != killed).isPresent());
    running.steps().submitAndRun(other, "later", CellSteps.SERVICE, 3);
    running.steps().assertRunsOnce("report", 2);
    running.steps().assertRunsOnce("planner", 3);
  }

  @Test
  void resumedFormerLeaderStartsNothingTwice() throws IOException, InterruptedException {
    int paused = running.cell().leader().orElseThrow();
    int other = (paused + 1) % RunningCellExtension.HOSTS;
    running.steps().submitAndRun(other, "report", CellSteps.AT_MOST_ONCE_BATCH, 2);
    running.steps().submitAndRun(other, "planner", CellSteps.SERVICE, 3);

    running.cell().pause(paused);
    CellSteps.awaitUntil(
        () ->
            running
                .steps()
                .leaderSeenBy(other)
                .filter(id -> !id.equals(HostProcesses.hostId(paused)))
                .isPresent());
    running.steps().submitAndRun(other, "meanwhile", CellSteps.SERVICE, 3);
    running.cell().resume(paused);

    CellSteps.awaitUntil(
        () -> running.steps().leaderSeenBy(paused).equals(running.steps().leaderSeenBy(other)));
    running.steps().submitAndRun(paused, "after", CellSteps.SERVICE, 3);
    for (String job : List.of("planner", "meanwhile", "after")) {
      assertThat(running.steps().runningWorkerCounts(job, 3)).as(job).containsOnly(1L);
    }
    assertThat(running.steps().startCounts("report", 2)).containsOnly(1);
  }

  @Test
  void resumedFollowerStartsNothingTwice() throws IOException, InterruptedException {
    int leader = running.cell().leader().orElseThrow();
    int paused = (leader + 1) % RunningCellExtension.HOSTS;
    running.steps().submitAndRun(leader, "report", CellSteps.AT_MOST_ONCE_BATCH, 2);
    running.steps().submitAndRun(leader, "planner", CellSteps.SERVICE, 3);

    running.cell().pause(paused);
    CellSteps.awaitUntil(() -> running.cell().seesUnreachable(leader, paused));
    running.steps().submitAndRun(leader, "meanwhile", CellSteps.SERVICE, 3);
    running.cell().resume(paused);

    CellSteps.awaitUntil(() -> !running.cell().seesUnreachable(leader, paused));
    running.steps().submitAndRun(paused, "after", CellSteps.SERVICE, 3);
    CellSteps.awaitUntil(() -> running.steps().isAnswered(paused, "/stock"));
    assertThat(running.steps().leaderSeenBy(paused)).contains(HostProcesses.hostId(leader));
    running.steps().assertRunsOnce("report", 2);
    running.steps().assertRunsOnce("planner", 3);
    running.steps().assertRunsOnce("meanwhile", 3);
  }

  @Test
  void logOutageRejectsSubmissionsAndStopsNoTask() {
    running.steps().submitAndRun(0, "planner", CellSteps.SERVICE, 3);

    running.cell().platform.server().logFaults().setMode(FaultSwitch.Mode.REFUSING);
    String result =
        running
            .cell()
            .submit(0, "refused", CellSteps.AT_MOST_ONCE_BATCH)
            .orElseThrow()
            .path("result")
            .asText();

    assertThat(result).isIn("REFUSED", "UNKNOWN");
    assertThat(running.cell().sendGuestRequest(1, HttpMethod.GET, "/stock").join().status().code())
        .isEqualTo(200);
    assertThat(running.steps().runningWorkerCounts("planner", 3)).containsOnly(1L);
    running.cell().platform.server().logFaults().setMode(FaultSwitch.Mode.NONE);
    running.steps().submitAndRun(0, "accepted", CellSteps.AT_MOST_ONCE_BATCH, 2);
    if (result.equals("REFUSED")) {
      assertThat(running.steps().startCounts("refused", 2)).containsOnly(0);
    }
  }
}

package org.vanillacove.daemon.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.vanillacove.standin.server.FaultSwitch;

/** Kills and freezes entry hosts, and takes the platform's log away from them. */
class HostProcessesTest {
  private static final int HOSTS = 3;

  @TempDir private Path directory;
  private HostProcesses cell;
  private CellSteps steps;

  @BeforeEach
  void startCell() throws IOException {
    cell = new HostProcesses(HOSTS, directory);
    steps = new CellSteps(cell);
    steps.awaitReady();
  }

  @AfterEach
  void closeCell() {
    cell.close();
  }

  @Test
  void killedLeaderIsReplacedAndNothingRunsTwice() throws InterruptedException {
    int dead = cell.leader().orElseThrow();
    int other = (dead + 1) % HOSTS;
    steps.submitAndRun(other, "planner", CellSteps.SERVICE, 3);
    steps.submitAndRun(other, "report", CellSteps.ONCE, 2);

    cell.kill(dead);

    assertThat(cell.guest(other, HttpMethod.GET, "/stock").join().status().code()).isEqualTo(200);
    CellSteps.eventually(() -> cell.leader().filter(leader -> leader != dead).isPresent());
    steps.submitAndRun(other, "later", CellSteps.SERVICE, 3);
    steps.assertRunsOnce("report", 2);
    steps.assertRunsOnce("planner", 3);
  }

  @Test
  void frozenLeaderDoesNoHarmWhenItWakes() throws IOException, InterruptedException {
    int frozen = cell.leader().orElseThrow();
    int other = (frozen + 1) % HOSTS;
    steps.submitAndRun(other, "report", CellSteps.ONCE, 2);
    steps.submitAndRun(other, "planner", CellSteps.SERVICE, 3);

    cell.freeze(frozen);
    CellSteps.eventually(
        () ->
            steps
                .leaderSeenBy(other)
                .filter(id -> !id.equals(HostProcesses.name(frozen)))
                .isPresent());
    steps.submitAndRun(other, "meanwhile", CellSteps.SERVICE, 3);
    cell.thaw(frozen);

    CellSteps.eventually(() -> steps.leaderSeenBy(frozen).equals(steps.leaderSeenBy(other)));
    steps.submitAndRun(frozen, "after", CellSteps.SERVICE, 3);
    for (String job : List.of("planner", "meanwhile", "after")) {
      assertThat(steps.places(job, 3)).as(job).containsOnly(1L);
    }
    assertThat(steps.starts("report", 2)).containsOnly(1);
  }

  @Test
  void logOutageRefusesSubmissionsAndStopsNothing() {
    steps.submitAndRun(0, "planner", CellSteps.SERVICE, 3);

    cell.platform.server().logFaults().setMode(FaultSwitch.Mode.REFUSING);
    String result = cell.submit(0, "refused", CellSteps.ONCE).orElseThrow().path("result").asText();

    assertThat(result).isIn("REFUSED", "UNKNOWN");
    assertThat(cell.guest(1, HttpMethod.GET, "/stock").join().status().code()).isEqualTo(200);
    assertThat(steps.places("planner", 3)).containsOnly(1L);
    cell.platform.server().logFaults().setMode(FaultSwitch.Mode.NONE);
    steps.submitAndRun(0, "accepted", CellSteps.ONCE, 2);
    if (result.equals("REFUSED")) {
      assertThat(steps.starts("refused", 2)).containsOnly(0);
    }
  }
}

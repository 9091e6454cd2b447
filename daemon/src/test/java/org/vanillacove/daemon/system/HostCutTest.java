package org.vanillacove.daemon.system;

import static org.assertj.core.api.Assertions.assertThat;
import static org.vanillacove.daemon.system.CellSteps.ONCE;
import static org.vanillacove.daemon.system.CellSteps.SERVICE;
import static org.vanillacove.daemon.system.CellSteps.eventually;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Cuts regions of one entry host each off from the others, as processes, silently. */
class HostCutTest {
  @RegisterExtension private final RunningCellExtension running = new RunningCellExtension();

  @Test
  void regionOfTheLeaderIsCutOffAndComesBack() {
    int parted = running.cell().leader().orElseThrow();
    int other = (parted + 1) % RunningCellExtension.HOSTS;
    running.steps().submitAndRun(other, "planner", SERVICE, 3);
    running.steps().submitAndRun(other, "report", ONCE, 2);

    running.cell().cutOff(parted);

    eventually(() -> isLedByAnother(other, parted));
    running.steps().submitAndRun(other, "meanwhile", SERVICE, 3);
    running.steps().assertAnswered(other, "/stock");
    assertThat(running.steps().starts("report", 2)).containsOnly(1);
    assertThat(running.steps().places("planner", 3)).containsOnly(1L);
    long version = configure(other);

    running.cell().links.mend();

    eventually(
        () -> running.steps().leaderSeenBy(parted).equals(running.steps().leaderSeenBy(other)));
    eventually(() -> running.steps().versionOn(parted) == version);
    running.steps().submitAndRun(parted, "after", SERVICE, 3);
    running.steps().assertAnswered(parted, "/stock");
    assertThat(running.steps().starts("report", 2)).containsOnly(1);
    for (String job : new String[] {"planner", "meanwhile", "after"}) {
      assertThat(running.steps().places(job, 3)).as(job).containsOnly(1L);
    }
  }

  @Test
  void regionWithoutTheLeaderAnswersItsGuestsWhileItIsCutOff() {
    int leader = running.cell().leader().orElseThrow();
    int parted = (leader + 1) % RunningCellExtension.HOSTS;
    running.steps().submitAndRun(leader, "planner", SERVICE, 3);
    eventually(() -> running.steps().isAnswered(parted, "/stock"));

    running.cell().cutOff(parted);
    eventually(() -> seesOthersGone(parted));

    assertThat(running.steps().isAnswered(parted, "/stock")).isTrue();
    assertThat(running.cell().submit(parted, "refused", ONCE).orElseThrow().path("result").asText())
        .isIn("REFUSED", "UNKNOWN");
    assertThat(running.steps().leaderSeenBy(leader)).contains(HostProcesses.name(leader));

    running.cell().links.mend();

    eventually(() -> !seesOthersGone(parted));
    running.steps().submitAndRun(parted, "after", SERVICE, 3);
    assertThat(running.steps().places("planner", 3)).containsOnly(1L);
  }

  private boolean isLedByAnother(int host, int former) {
    return running
        .steps()
        .leaderSeenBy(host)
        .filter(leader -> !leader.isEmpty() && !leader.equals(HostProcesses.name(former)))
        .isPresent();
  }

  private long configure(int host) {
    String document = "{\"defaults\": {\"routing\": {\"queueLimit\": 1999}}, \"exceptions\": []}";
    eventually(
        () ->
            running
                .cell()
                .configure(host, Math.max(0, running.steps().versionOn(host)), document)
                .filter(CellSteps::isAccepted)
                .isPresent());
    eventually(() -> running.steps().versionOn(host) > 0);
    return running.steps().versionOn(host);
  }

  private boolean seesOthersGone(int host) {
    return IntStream.range(0, RunningCellExtension.HOSTS)
        .filter(other -> other != host)
        .allMatch(other -> running.cell().seesGone(host, other));
  }
}

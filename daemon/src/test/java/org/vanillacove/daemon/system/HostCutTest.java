package org.vanillacove.daemon.system;

import static org.assertj.core.api.Assertions.assertThat;
import static org.vanillacove.daemon.system.CellSteps.ONCE;
import static org.vanillacove.daemon.system.CellSteps.SERVICE;
import static org.vanillacove.daemon.system.CellSteps.eventually;

import java.io.IOException;
import java.nio.file.Path;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Cuts regions of one entry host each off from the others, as processes, silently. */
class HostCutTest {
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
  void regionOfTheLeaderIsCutOffAndComesBack() {
    int parted = cell.leader().orElseThrow();
    int other = (parted + 1) % HOSTS;
    steps.submitAndRun(other, "planner", SERVICE, 3);
    steps.submitAndRun(other, "report", ONCE, 2);

    cell.cutOff(parted);

    eventually(() -> isLedByAnother(other, parted));
    steps.submitAndRun(other, "meanwhile", SERVICE, 3);
    steps.assertAnswered(other, "/stock");
    assertThat(steps.starts("report", 2)).containsOnly(1);
    assertThat(steps.places("planner", 3)).containsOnly(1L);
    long version = configure(other);

    cell.links.mend();

    eventually(() -> steps.leaderSeenBy(parted).equals(steps.leaderSeenBy(other)));
    eventually(() -> steps.versionOn(parted) == version);
    steps.submitAndRun(parted, "after", SERVICE, 3);
    steps.assertAnswered(parted, "/stock");
    assertThat(steps.starts("report", 2)).containsOnly(1);
    for (String job : new String[] {"planner", "meanwhile", "after"}) {
      assertThat(steps.places(job, 3)).as(job).containsOnly(1L);
    }
  }

  @Test
  void regionWithoutTheLeaderAnswersItsGuestsWhileItIsCutOff() {
    int leader = cell.leader().orElseThrow();
    int parted = (leader + 1) % HOSTS;
    steps.submitAndRun(leader, "planner", SERVICE, 3);
    eventually(() -> steps.isAnswered(parted, "/stock"));

    cell.cutOff(parted);
    eventually(() -> seesOthersGone(parted));

    assertThat(steps.isAnswered(parted, "/stock")).isTrue();
    assertThat(cell.submit(parted, "refused", ONCE).orElseThrow().path("result").asText())
        .isIn("REFUSED", "UNKNOWN");
    assertThat(steps.leaderSeenBy(leader)).contains(HostProcesses.name(leader));

    cell.links.mend();

    eventually(() -> !seesOthersGone(parted));
    steps.submitAndRun(parted, "after", SERVICE, 3);
    assertThat(steps.places("planner", 3)).containsOnly(1L);
  }

  private boolean isLedByAnother(int host, int former) {
    return steps
        .leaderSeenBy(host)
        .filter(leader -> !leader.isEmpty() && !leader.equals(HostProcesses.name(former)))
        .isPresent();
  }

  private long configure(int host) {
    String document = "{\"defaults\": {\"routing\": {\"queueLimit\": 1999}}, \"exceptions\": []}";
    eventually(
        () ->
            cell.configure(host, Math.max(0, steps.versionOn(host)), document)
                .filter(CellSteps::isAccepted)
                .isPresent());
    eventually(() -> steps.versionOn(host) > 0);
    return steps.versionOn(host);
  }

  private boolean seesOthersGone(int host) {
    return cell.status(host)
        .map(status -> status.path("hosts"))
        .filter(
            hosts ->
                IntStream.range(0, HOSTS)
                    .mapToObj(hosts::get)
                    .filter(seen -> !seen.path("hostId").asText().equals(HostProcesses.name(host)))
                    .noneMatch(seen -> seen.path("reachable").asBoolean()))
        .isPresent();
  }
}

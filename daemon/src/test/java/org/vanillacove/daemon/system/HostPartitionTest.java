package org.vanillacove.daemon.system;

import static org.assertj.core.api.Assertions.assertThat;
import static org.vanillacove.daemon.system.CellSteps.AT_MOST_ONCE_BATCH;
import static org.vanillacove.daemon.system.CellSteps.SERVICE;
import static org.vanillacove.daemon.system.CellSteps.awaitUntil;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * Partitions a region of one entry host from the others and from the platform. Connections stay
 * open but carry nothing, so that hosts detect the partition by timeouts only.
 */
class HostPartitionTest {
  @RegisterExtension private final RunningCellExtension running = new RunningCellExtension();

  @Test
  void partitionedLeaderRegionRejoinsAndNothingRunsTwice() {
    int isolated = running.cell().leader().orElseThrow();
    int other = (isolated + 1) % RunningCellExtension.HOSTS;
    running.steps().submitAndRun(other, "planner", SERVICE, 3);
    running.steps().submitAndRun(other, "report", AT_MOST_ONCE_BATCH, 2);

    running.cell().partition(isolated);

    awaitUntil(() -> isLedByAnother(other, isolated));
    running.steps().submitAndRun(other, "meanwhile", SERVICE, 3);
    running.steps().assertAnswered(other, "/stock");
    assertThat(running.steps().startCounts("report", 2)).containsOnly(1);
    assertThat(running.steps().runningWorkerCounts("planner", 3)).containsOnly(1L);
    long version = configure(other);

    running.cell().relays.restore();

    awaitUntil(
        () -> running.steps().leaderSeenBy(isolated).equals(running.steps().leaderSeenBy(other)));
    awaitUntil(() -> running.steps().configurationVersionOn(isolated) == version);
    running.steps().submitAndRun(isolated, "after", SERVICE, 3);
    running.steps().assertAnswered(isolated, "/stock");
    assertThat(running.steps().startCounts("report", 2)).containsOnly(1);
    for (String job : new String[] {"planner", "meanwhile", "after"}) {
      assertThat(running.steps().runningWorkerCounts(job, 3)).as(job).containsOnly(1L);
    }
  }

  @Test
  void partitionedRegionWithoutLeaderServesItsGuests() {
    int leader = running.cell().leader().orElseThrow();
    int isolated = (leader + 1) % RunningCellExtension.HOSTS;
    running.steps().submitAndRun(leader, "planner", SERVICE, 3);
    awaitUntil(() -> running.steps().isAnswered(isolated, "/stock"));

    running.cell().partition(isolated);
    awaitUntil(() -> seesOthersUnreachable(isolated));

    assertThat(running.steps().isAnswered(isolated, "/stock")).isTrue();
    assertThat(
            running
                .cell()
                .submit(isolated, "refused", AT_MOST_ONCE_BATCH)
                .orElseThrow()
                .path("result")
                .asText())
        .isIn("REFUSED", "UNKNOWN");
    assertThat(running.steps().leaderSeenBy(leader)).contains(HostProcesses.hostId(leader));

    running.cell().relays.restore();

    awaitUntil(() -> !seesOthersUnreachable(isolated));
    running.steps().submitAndRun(isolated, "after", SERVICE, 3);
    assertThat(running.steps().runningWorkerCounts("planner", 3)).containsOnly(1L);
  }

  private boolean isLedByAnother(int host, int former) {
    return running
        .steps()
        .leaderSeenBy(host)
        .filter(leader -> !leader.isEmpty() && !leader.equals(HostProcesses.hostId(former)))
        .isPresent();
  }

  private long configure(int host) {
    String document = "{\"defaults\": {\"routing\": {\"queueLimit\": 1999}}, \"exceptions\": []}";
    awaitUntil(
        () ->
            running
                .cell()
                .configure(
                    host, Math.max(0, running.steps().configurationVersionOn(host)), document)
                .filter(CellSteps::isAccepted)
                .isPresent());
    awaitUntil(() -> running.steps().configurationVersionOn(host) > 0);
    return running.steps().configurationVersionOn(host);
  }

  private boolean seesOthersUnreachable(int host) {
    return IntStream.range(0, RunningCellExtension.HOSTS)
        .filter(other -> other != host)
        .allMatch(other -> running.cell().seesUnreachable(host, other));
  }
}

package org.vanillacove.daemon.system;

import static org.assertj.core.api.Assertions.assertThat;
import static org.vanillacove.daemon.system.CellSteps.AT_MOST_ONCE_BATCH;
import static org.vanillacove.daemon.system.CellSteps.SERVICE;
import static org.vanillacove.daemon.system.CellSteps.awaitUntil;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * Restarts all entry hosts at once after concurrent configuration changes, and kills an
 * availability zone. Tasks that must run at most once must not start again in either case.
 */
class HostRestartTest {
  /** A service of three tasks that are restarted elsewhere after their leases expire. */
  private static final String MOVABLE_SERVICE =
      """
      {"name": "quotes", "team": "karamanlis", "kind": "service", "tasks": 3, "loss": "move",
       "resources": {"cpuMillis": 1000, "memoryMib": 512}, "command": "serve"}
      """;

  @RegisterExtension private final RunningCellExtension running = new RunningCellExtension();

  @Test
  void oneConcurrentChangeIsAcceptedAndSurvivesFullRestart()
      throws IOException, InterruptedException {
    running.steps().submitAndRun(0, "planner", SERVICE, 3);
    running.steps().submitAndRun(1, "report", AT_MOST_ONCE_BATCH, 2);
    List<String> results = submitConcurrentChanges();
    assertThat(results).containsExactlyInAnyOrder("ACCEPTED", "CONFLICT", "CONFLICT");
    awaitUntil(() -> versions().stream().distinct().count() == 1 && versions().getFirst() > 0);
    long version = versions().getFirst();

    running.cell().killAll();
    for (int host = 0; host < RunningCellExtension.HOSTS; host++) {
      running.cell().start(host);
    }
    running.steps().awaitReady();

    awaitUntil(() -> versions().stream().allMatch(seen -> seen == version));
    assertThat(running.cell().job(2, "report")).isPresent();
    assertThat(running.steps().startCounts("report", 2)).containsOnly(1);
    awaitUntil(
        () ->
            running.steps().runningWorkerCounts("planner", 3).stream()
                .allMatch(count -> count == 1));
    running.steps().submitAndRun(2, "after", SERVICE, 3);
    awaitUntil(() -> running.steps().isAnswered(0, "/stock"));
    assertThat(running.steps().startCounts("report", 2)).containsOnly(1);
  }

  @Test
  void tasksOfLostZoneMoveAndNothingRunsTwice() throws InterruptedException {
    int other = running.cell().leader().orElseThrow();
    int lost = (other + 1) % RunningCellExtension.HOSTS;
    running.steps().submitAndRun(other, "moves", MOVABLE_SERVICE, 3);
    running.steps().submitAndRun(other, "keeps", SERVICE, 3);
    running.steps().submitAndRun(other, "report", AT_MOST_ONCE_BATCH, 2);
    final long keptElsewhere = running.cell().runningTasksOutside(lost, "keeps", 3);

    running.cell().killZone(lost);

    awaitUntil(() -> running.cell().runningTasksOutside(lost, "moves", 3) == 3);
    assertThat(running.cell().runningTasksOutside(lost, "keeps", 3)).isEqualTo(keptElsewhere);
    awaitUntil(
        () -> running.cell().declareLost(other, lost).filter(CellSteps::isAccepted).isPresent());
    awaitUntil(() -> running.cell().runningTasksOutside(lost, "keeps", 3) == 3);
    assertThat(running.steps().runningWorkerCounts("moves", 3)).containsOnly(1L);
    assertThat(running.steps().runningWorkerCounts("keeps", 3)).containsOnly(1L);
    assertThat(running.steps().startCounts("report", 2)).containsOnly(1);
    awaitUntil(() -> running.steps().isAnswered(other, "/stock"));
  }

  private List<String> submitConcurrentChanges() {
    List<CompletableFuture<String>> answers =
        IntStream.range(0, RunningCellExtension.HOSTS)
            .mapToObj(
                host ->
                    CompletableFuture.supplyAsync(
                        () -> result(running.cell().configure(host, 0, configurationFor(host)))))
            .toList();
    return answers.stream().map(CompletableFuture::join).toList();
  }

  private static String configurationFor(int host) {
    return "{\"defaults\": {\"routing\": {\"queueLimit\": %d}}, \"exceptions\": []}"
        .formatted(1_000 + host);
  }

  private static String result(Optional<JsonNode> answer) {
    return answer.orElseThrow().path("result").asText();
  }

  private List<Long> versions() {
    return IntStream.range(0, RunningCellExtension.HOSTS)
        .mapToObj(running.steps()::configurationVersionOn)
        .toList();
  }
}

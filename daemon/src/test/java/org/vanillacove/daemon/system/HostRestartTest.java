package org.vanillacove.daemon.system;

import static org.assertj.core.api.Assertions.assertThat;
import static org.vanillacove.daemon.system.CellSteps.ONCE;
import static org.vanillacove.daemon.system.CellSteps.SERVICE;
import static org.vanillacove.daemon.system.CellSteps.eventually;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Restarts all entry hosts at once, lets operators race and takes a zone away, as processes. */
class HostRestartTest {
  private static final int HOSTS = 3;

  /** A service of three tasks that are restarted elsewhere once their leases have lapsed. */
  private static final String MOVES =
      """
      {"name": "quotes", "team": "karamanlis", "kind": "service", "tasks": 3, "loss": "move",
       "resources": {"cpuMillis": 1000, "memoryMib": 512}, "command": "serve"}
      """;

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
  void racingChangesHaveOneWinnerThatSurvivesTheRestartOfAllHosts()
      throws IOException, InterruptedException {
    steps.submitAndRun(0, "planner", SERVICE, 3);
    steps.submitAndRun(1, "report", ONCE, 2);
    List<String> results = race();
    assertThat(results).containsExactlyInAnyOrder("ACCEPTED", "CONFLICT", "CONFLICT");
    eventually(() -> versions().stream().distinct().count() == 1 && versions().getFirst() > 0);
    long version = versions().getFirst();

    cell.killAll();
    for (int host = 0; host < HOSTS; host++) {
      cell.start(host);
    }
    steps.awaitReady();

    eventually(() -> versions().stream().allMatch(seen -> seen == version));
    assertThat(cell.job(2, "report")).isPresent();
    assertThat(steps.starts("report", 2)).containsOnly(1);
    eventually(() -> steps.places("planner", 3).stream().allMatch(count -> count == 1));
    steps.submitAndRun(2, "after", SERVICE, 3);
    eventually(() -> steps.isAnswered(0, "/stock"));
    assertThat(steps.starts("report", 2)).containsOnly(1);
  }

  @Test
  void lostZoneIsReplacedAndNothingRunsTwice() throws InterruptedException {
    int other = cell.leader().orElseThrow();
    int lost = (other + 1) % HOSTS;
    steps.submitAndRun(other, "moves", MOVES, 3);
    steps.submitAndRun(other, "keeps", SERVICE, 3);
    steps.submitAndRun(other, "report", ONCE, 2);
    final long keptElsewhere = cell.placesOutside(lost, "keeps", 3);

    cell.loseZone(lost);

    eventually(() -> cell.placesOutside(lost, "moves", 3) == 3);
    assertThat(cell.placesOutside(lost, "keeps", 3)).isEqualTo(keptElsewhere);
    eventually(() -> cell.declareLost(other, lost).filter(CellSteps::isAccepted).isPresent());
    eventually(() -> cell.placesOutside(lost, "keeps", 3) == 3);
    assertThat(steps.places("moves", 3)).containsOnly(1L);
    assertThat(steps.places("keeps", 3)).containsOnly(1L);
    assertThat(steps.starts("report", 2)).containsOnly(1);
    eventually(() -> steps.isAnswered(other, "/stock"));
  }

  private List<String> race() {
    List<CompletableFuture<String>> answers =
        IntStream.range(0, HOSTS)
            .mapToObj(
                host ->
                    CompletableFuture.supplyAsync(
                        () -> result(cell.configure(host, 0, text(host)))))
            .toList();
    return answers.stream().map(CompletableFuture::join).toList();
  }

  private static String text(int host) {
    return "{\"defaults\": {\"routing\": {\"queueLimit\": %d}}, \"exceptions\": []}"
        .formatted(1_000 + host);
  }

  private static String result(Optional<JsonNode> answer) {
    return answer.orElseThrow().path("result").asText();
  }

  private List<Long> versions() {
    return IntStream.range(0, HOSTS).mapToObj(steps::versionOn).toList();
  }
}

package org.vanillacove.daemon.system;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.common.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import org.vanillacove.state.api.TaskId;

/** Steps and checks shared by the tests that run entry hosts as processes. */
final class CellSteps {
  /** A service of three tasks that may be restarted. */
  static final String SERVICE =
      """
      {"name": "planner", "team": "karamanlis", "kind": "service", "tasks": 3,
       "resources": {"cpuMillis": 1000, "memoryMib": 512}, "command": "serve"}
      """;

  /** Two tasks that may run at most once. */
  static final String AT_MOST_ONCE_BATCH =
      """
      {"name": "report", "team": "encosta-sul", "kind": "batch", "tasks": 2,
       "resources": {"cpuMillis": 1000, "memoryMib": 512}, "rerun": "at-most-once",
       "expectedRunMillis": 600000, "command": "sleep 600"}
      """;

  /** Maximum wait for a state of the cell; an idle machine needs far less. */
  private static final Duration TIMEOUT = Duration.ofSeconds(90);

  private final HostProcesses cell;

  CellSteps(HostProcesses cell) {
    this.cell = cell;
  }

  static void awaitUntil(Callable<Boolean> condition) {
    await().atMost(TIMEOUT).pollInterval(Duration.ofMillis(100)).until(condition);
  }

  static boolean isAccepted(JsonNode answer) {
    return answer.path("result").asText().equals("ACCEPTED");
  }

  void awaitReady() {
    awaitUntil(() -> cell.leader().isPresent());
    awaitUntil(() -> IntStream.range(0, cell.hosts()).allMatch(this::seesAllWorkers));
  }

  void submitAndRun(int host, String id, String document, int tasks) {
    awaitUntil(() -> cell.submit(host, id, document).filter(CellSteps::isAccepted).isPresent());
    awaitUntil(() -> runningWorkerCounts(id, tasks).stream().allMatch(count -> count == 1));
  }

  void assertRunsOnce(String job, int tasks) {
    assertThat(runningWorkerCounts(job, tasks)).as(job).containsOnly(1L);
    assertThat(startCounts(job, tasks)).as(job).containsOnly(1);
  }

  void assertAnswered(int host, String path) {
    assertThat(isAnswered(host, path)).isTrue();
  }

  boolean isAnswered(int host, String path) {
    return cell.sendGuestRequest(host, HttpMethod.GET, path).join().status().code() == 200;
  }

  List<Long> runningWorkerCounts(String job, int tasks) {
    return IntStream.range(0, tasks)
        .mapToObj(task -> cell.runningWorkerCount(new TaskId(job, task)))
        .toList();
  }

  List<Integer> startCounts(String job, int tasks) {
    return IntStream.range(0, tasks)
        .mapToObj(task -> cell.totalStartCount(new TaskId(job, task)))
        .toList();
  }

  Optional<String> leaderSeenBy(int host) {
    return cell.status(host).map(status -> status.path("leader").asText());
  }

  /** Returns the configuration version in force on a host, -1 if it does not respond. */
  long configurationVersionOn(int host) {
    return cell.status(host)
        .map(status -> status.path("configurationVersion").asLong(-1))
        .orElse(-1L);
  }

  private boolean seesAllWorkers(int host) {
    int expected = cell.platform.workers().size();
    return cell.status(host)
        .filter(status -> status.path("workers").asInt() == expected)
        .isPresent();
  }
}

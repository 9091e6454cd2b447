package org.vanillacove.daemon.system;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Terminates an entry host that has more requests in progress than its region has slots, so that
 * some of them still wait for a slot when the shutdown starts.
 */
class GracefulShutdownTest {
  private static final int HOSTS = 3;

  /** Maximum wait for a state of the cell; an idle machine needs far less. */
  private static final Duration TIMEOUT = Duration.ofSeconds(90);

  @TempDir private Path directory;
  private HostProcesses cell;

  @BeforeEach
  void startCell() throws IOException {
    cell = new HostProcesses(HOSTS, directory);
    awaitUntil(() -> cell.leader().isPresent());
  }

  @AfterEach
  void closeCell() {
    cell.close();
  }

  @Test
  void gracefulShutdownCompletesRequestsInProgress() throws InterruptedException {
    int leaving = 0;
    awaitUntil(
        () ->
            cell.sendGuestRequest(leaving, HttpMethod.GET, "/warm").join().status().code() == 200);
    List<CompletableFuture<AggregatedHttpResponse>> answers = new ArrayList<>();
    for (int request = 0; request < 60; request++) {
      answers.add(cell.sendGuestRequest(leaving, HttpMethod.POST, "/work?millis=1500&bytes=2000"));
    }
    awaitUntil(() -> runningRequests() >= 8);

    int exitCode = cell.terminate(leaving);

    assertThat(exitCode).isZero();
    for (CompletableFuture<AggregatedHttpResponse> answer : answers) {
      AggregatedHttpResponse response = answer.join();
      assertThat(response.status().code()).isEqualTo(200);
      assertThat(response.content().length()).isEqualTo(2_000);
    }
    assertThat(cell.platform.backends())
        .allSatisfy(backend -> assertThat(backend.maxRunning()).isLessThanOrEqualTo(8));
  }

  private int runningRequests() {
    return cell.platform.backends().stream().mapToInt(backend -> backend.running()).sum();
  }

  private static void awaitUntil(Callable<Boolean> condition) {
    await().atMost(TIMEOUT).pollInterval(Duration.ofMillis(100)).until(condition);
  }
}

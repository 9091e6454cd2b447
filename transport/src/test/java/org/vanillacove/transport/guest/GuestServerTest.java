package org.vanillacove.transport.guest;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.SessionProtocol;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillacove.standin.backend.BackendServer;

/** Tests {@link GuestServer} with well-behaved backend servers. */
class GuestServerTest {
  private final BackendServer first = new BackendServer("b1", EntryCell.ZONE, 8);
  private final BackendServer second = new BackendServer("b2", EntryCell.ZONE, 8);
  private final EntryCell cell =
      new EntryCell(3, SessionProtocol.HTTP, List.of(first::listed, second::listed));

  @AfterEach
  void close() {
    cell.close();
    first.close();
    second.close();
  }

  @ParameterizedTest
  @CsvSource({"1, 100", "2, 65536", "3, 1000000"})
  void completeResponseIsReturnedThroughAnyEntryHost(int host, int bytes) {
    AggregatedHttpResponse answer = cell.host(host).get("/work?bytes=" + bytes).join();

    assertThat(answer.status().code()).isEqualTo(200);
    assertThat(answer.headers().get(GuestHeaders.OUTCOME)).isEqualTo(GuestHeaders.RUN);
    assertThat(answer.content().length()).isEqualTo(bytes);
  }

  @Test
  void postBodyReachesBackendServer() {
    AggregatedHttpResponse answer = cell.host(1).post("/echo", "castor").join();

    assertThat(answer.contentUtf8()).isEqualTo("castor");
    assertThat(first.runCount() + second.runCount()).isEqualTo(1);
  }

  @Test
  void hostsShareSlotsWithoutExceedingTheLimit() {
    List<CompletableFuture<AggregatedHttpResponse>> answers = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      answers.add(cell.hosts().get(i % 3).get("/work?millis=20"));
    }

    assertThat(answers).allSatisfy(each -> assertThat(each.join().status().code()).isEqualTo(200));
    assertThat(List.of(first.rejectedRequests(), second.rejectedRequests())).containsOnly(0);
    assertThat(first.maxRunning()).isLessThanOrEqualTo(8);
    assertThat(second.maxRunning()).isLessThanOrEqualTo(8);
    assertThat(first.runCount() + second.runCount()).isEqualTo(300);
  }
}

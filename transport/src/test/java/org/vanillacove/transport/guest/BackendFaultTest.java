package org.vanillacove.transport.guest;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.SessionProtocol;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.vanillacove.standin.backend.BackendServer;
import org.vanillacove.standin.backend.FaultyBackend;
import org.vanillacove.standin.backend.FaultyBackend.Fault;

/** Tests the outcome that guests receive when a connection to a backend server fails. */
class BackendFaultTest {
  private static final String DEADLINE = GuestHeaders.DEADLINE.toString();

  @ParameterizedTest
  @CsvSource({
    "RESET_BEFORE, unknown, 0",
    "RESET_DURING, unknown, 0",
    "RESET_AFTER, unknown, 1",
    "TRUNCATED, unknown, 1",
    "SILENT, unknown, 1",
    "LATE, unknown, 1",
    "NONE, run, 1"
  })
  void postRunsAtMostOnceAndReportsItsOutcome(Fault fault, String outcome, int runs)
      throws IOException {
    try (FaultyBackend backend = new FaultyBackend("b", EntryCell.ZONE, fault);
        EntryCell cell = new EntryCell(1, SessionProtocol.H1C, List.of(backend::listed))) {
      AggregatedHttpResponse answer = cell.host(1).post("/work", "laudo", DEADLINE, "1000").join();

      assertThat(answer.headers().get(GuestHeaders.OUTCOME)).isEqualTo(outcome);
      assertThat(backend.runs().values()).hasSize(runs).allMatch(count -> count == 1);
      assertThat(cell.host(1).router.ledger().used("b")).isZero();
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = Fault.class,
      names = {"RESET_BEFORE", "RESET_DURING", "RESET_AFTER", "TRUNCATED"})
  void idempotentRequestIsRetriedOnAnotherBackend(Fault fault) throws IOException {
    try (FaultyBackend faulty = new FaultyBackend("b1", EntryCell.ZONE, fault);
        FaultyBackend good = new FaultyBackend("b2", EntryCell.ZONE, Fault.NONE);
        EntryCell cell =
            new EntryCell(1, SessionProtocol.H1C, List.of(faulty::listed, good::listed))) {
      for (int i = 0; i < 6; i++) {
        AggregatedHttpResponse answer = cell.host(1).get("/work").join();
        assertThat(answer.status().code()).isEqualTo(200);
        assertThat(answer.contentUtf8()).startsWith("answer to ");
      }
      assertThat(good.runs()).hasSize(6);
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = Fault.class,
      names = {"DOUBLED", "LATE"})
  void strayResponseNeverReachesAnotherRequest(Fault fault) throws IOException {
    try (FaultyBackend backend = new FaultyBackend("b", EntryCell.ZONE, fault);
        EntryCell cell = new EntryCell(1, SessionProtocol.H1C, List.of(backend::listed))) {
      cell.host(1).post("/work", "first", DEADLINE, "500").join();
      backend.setFault(Fault.NONE);
      for (int i = 0; i < 5; i++) {
        AggregatedHttpResponse answer = cell.host(1).post("/work", "next").join();
        if (answer.status().code() == 200) {
          String id = answer.contentUtf8().replace("answer to ", "");
          assertThat(id).endsWith("-" + (i + 2));
        }
      }
    }
  }

  @ParameterizedTest
  @CsvSource({"REFUSING, 503, not-run, 0", "MISMATCHING, 502, unknown, 1"})
  void refusalIsNotRunAndMismatchIsUnknown(
      BackendServer.Behaviour behaviour, int status, String outcome, int runs) {
    try (BackendServer backend = new BackendServer("b", EntryCell.ZONE, 8);
        EntryCell cell = new EntryCell(1, SessionProtocol.HTTP, List.of(backend::listed))) {
      backend.setBehaviour(behaviour);

      AggregatedHttpResponse answer =
          cell.host(1).post("/work?bytes=10", "", DEADLINE, "1000").join();

      assertThat(answer.status().code()).isEqualTo(status);
      assertThat(answer.headers().get(GuestHeaders.OUTCOME)).isEqualTo(outcome);
      assertThat(backend.runCount()).isEqualTo(runs);
    }
  }

  @ParameterizedTest
  @CsvSource({"1000", "1000000"})
  void truncatedResponseIsNotForwardedAsComplete(int bytes) {
    try (BackendServer backend = new BackendServer("b", EntryCell.ZONE, 8);
        EntryCell cell = new EntryCell(1, SessionProtocol.HTTP, List.of(backend::listed))) {
      backend.setBehaviour(BackendServer.Behaviour.TRUNCATING);

      boolean whole =
          cell.host(1)
              .post("/work?bytes=" + bytes, "")
              .handle((answer, error) -> error == null && answer.status().code() == 200)
              .join();

      assertThat(whole).isFalse();
      assertThat(backend.runCount()).isEqualTo(1);
    }
  }
}

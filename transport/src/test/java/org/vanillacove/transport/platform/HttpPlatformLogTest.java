package org.vanillacove.transport.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.vanillacove.coordination.timer.ScheduledTimerService;
import org.vanillacove.protocol.platform.AppendOutcome;
import org.vanillacove.protocol.platform.ReadOutcome;
import org.vanillacove.standin.memory.MemoryLog;
import org.vanillacove.standin.server.FaultSwitch;
import org.vanillacove.standin.server.PlatformServer;

/** Tests {@link HttpPlatformLog} against the stand-in server. */
class HttpPlatformLogTest {
  private static final Duration DEADLINE = Duration.ofSeconds(2);

  private final ScheduledTimerService timer = new ScheduledTimerService();
  private final MemoryLog memory = new MemoryLog();
  private PlatformServer server;
  private PlatformClient client;
  private HttpPlatformLog log;

  @BeforeEach
  void start() {
    server = new PlatformServer(0, memory, 10);
    client = new PlatformClient(server.address(), DEADLINE, timer);
    log = new HttpPlatformLog(client);
  }

  @AfterEach
  void stop() {
    client.close();
    server.close();
    timer.close();
  }

  @Test
  void appendsAndReadsInOrder() {
    assertThat(append("a", "b")).isEqualTo(new AppendOutcome.Appended(0));
    assertThat(append("c")).isEqualTo(new AppendOutcome.Appended(2));
    assertThat(log.read(1, 10).join())
        .isEqualTo(new ReadOutcome.Batch(1, List.of(bytes("b"), bytes("c")), 3));
    assertThat(log.read(0, 1).join()).isEqualTo(new ReadOutcome.Batch(0, List.of(bytes("a")), 3));
    assertThat(log.read(3, 10).join()).isEqualTo(new ReadOutcome.Batch(3, List.of(), 3));
  }

  @Test
  void readOfTrimmedRecordsReturnsOldestOffset() {
    for (int i = 0; i < 15; i++) {
      append("record");
    }
    assertThat(log.read(4, 10).join()).isEqualTo(new ReadOutcome.Trimmed(5));
  }

  /** A fault must never be reported as refused if the append may have had an effect. */
  @ParameterizedTest
  @CsvSource({
    "REFUSING, Refused, 0",
    "FAILING, Unknown, 0",
    "SILENT, Unknown, 0",
    "CLOSING, Unknown, 0",
    "LOSING_ANSWERS, Unknown, 1"
  })
  void appendFaultIsReportedWithCorrectOutcome(
      FaultSwitch.Mode mode, String outcome, long records) {
    server.logFaults().setMode(mode);
    assertThat(append("a").getClass().getSimpleName()).isEqualTo(outcome);
    assertThat(memory.endOffset()).isEqualTo(records);
    server.logFaults().setMode(FaultSwitch.Mode.NONE);
    assertThat(append("b")).isEqualTo(new AppendOutcome.Appended(records));
  }

  @ParameterizedTest
  @EnumSource(value = FaultSwitch.Mode.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
  void readFaultIsReportedAsUnavailable(FaultSwitch.Mode mode) {
    server.logFaults().setMode(mode);
    assertThat(log.read(0, 10).join()).isInstanceOf(ReadOutcome.Unavailable.class);
  }

  @Test
  void appendToStoppedPlatformIsRefused() {
    server.close();
    await().until(() -> append("a") instanceof AppendOutcome.Refused);
    assertThat(memory.endOffset()).isEqualTo(0);
  }

  @Test
  void timeoutRenewsConnections() {
    append("a");
    server.logFaults().setMode(FaultSwitch.Mode.SILENT);
    append("b");
    assertThat(client.renewals()).isEqualTo(1);
    server.logFaults().setMode(FaultSwitch.Mode.NONE);
    assertThat(append("c")).isEqualTo(new AppendOutcome.Appended(1));
  }

  @Test
  void faultOfMemoryLogIsReportedToCaller() {
    memory.setFault(MemoryLog.Fault.REFUSING);
    assertThat(append("a")).isInstanceOf(AppendOutcome.Refused.class);
    memory.setFault(MemoryLog.Fault.LOSING_ANSWERS);
    assertThat(append("a")).isInstanceOf(AppendOutcome.Unknown.class);
    assertThat(memory.endOffset()).isEqualTo(1);
  }

  private AppendOutcome append(String... texts) {
    return log.append(List.of(texts).stream().map(HttpPlatformLogTest::bytes).toList()).join();
  }

  private static ByteString bytes(String text) {
    return ByteString.copyFromUtf8(text);
  }
}

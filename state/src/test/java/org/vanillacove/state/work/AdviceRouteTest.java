package org.vanillacove.state.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which host makes a call to the adviser under load. */
class AdviceRouteTest {
  private static final double LONG = 660;
  private static final double SHORT = 10;

  private static AdviceRoute.Caller caller(String name, int calls, double work, double latency) {
    return new AdviceRoute.Caller(name, calls, work, latency);
  }

  @Test
  void shortCallIsSentWhileEarlierCallsArePending() {
    assertThat(AdviceRoute.choose(SHORT, List.of(caller("a", 3, 30, 60)), 0))
        .map(AdviceRoute.Caller::name)
        .contains("a");
  }

  @ParameterizedTest
  @CsvSource({"1, 660", "1, 115", "16, 100"})
  void shortCallIsNotQueuedBehindTooMuchWork(int calls, double work) {
    assertThat(AdviceRoute.choose(SHORT, List.of(caller("a", calls, work, 0)), 0)).isEmpty();
  }

  @Test
  void shortCallUsesTheHostExpectedToAnswerFirst() {
    List<AdviceRoute.Caller> callers =
        List.of(caller("far", 0, 0, 120), caller("near", 4, 40, 2), caller("busy", 9, 90, 2));
    assertThat(AdviceRoute.choose(SHORT, callers, 0))
        .map(AdviceRoute.Caller::name)
        .contains("near");
  }

  @Test
  void longCallsLeaveHostsForShortCalls() {
    List<AdviceRoute.Caller> callers =
        List.of(
            caller("a", 0, 0, 0),
            caller("b", 0, 0, 60),
            caller("c", 0, 0, 0),
            caller("d", 0, 0, 0),
            caller("e", 0, 0, 0));
    assertThat(AdviceRoute.choose(LONG, callers, 1)).map(AdviceRoute.Caller::name).contains("b");
    assertThat(AdviceRoute.choose(LONG, callers, 2)).isEmpty();
  }

  @Test
  void longCallsWaitForAnIdleHost() {
    assertThat(AdviceRoute.choose(LONG, List.of(caller("a", 1, 5, 0)), 0)).isEmpty();
  }
}

package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.vanillacove.coordination.work.api.JobView;
import org.vanillacove.coordination.work.api.WorkerEntry;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.work.StepSpec;

/**
 * Guards against tasks on a worker that started again as another, smaller kind, and is still used
 * by the capacity and the labels of its former life.
 */
class RestartedWorkerOfOtherKindTest {
  private static final String ID = "00000000000000a1";
  private static final String WORKER = "w0";
  private static final Resources SMALL = new Resources(4_000, 16_000, 0);

  /** Order in which the leader learns of the new life. */
  private enum Order {
    REPORT_BEFORE_ENTRY,
    ENTRY_BEFORE_REPORT,
    FORMER_ENTRY_READ_LATE,
    TWO_LIVES_IN_ONE_READ,
    UNLISTED_MEANWHILE
  }

  private static Stream<Arguments> orders() {
    return Arrays.stream(Order.values())
        .flatMap(order -> Stream.of(Arguments.of(order, false), Arguments.of(order, true)));
  }

  @ParameterizedTest
  @MethodSource("orders")
  void formerKindIsNotUsed(Order order, boolean labelled) {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.run(1_000);
    Map<String, WorkerEntry> former = fixture.workers.directory();
    fixture.submit(CellFixture.job(ID, step(labelled)));
    fixture.run(500);
    assertThat(fixture.workers.running(WORKER)).isEqualTo(2);

    restart(fixture, order, former);
    int mostRuns = 0;
    for (int i = 0; i < 40; i++) {
      fixture.run(250);
      mostRuns = Math.max(mostRuns, fixture.workers.running(WORKER));
    }
    // The new life is used as what it is.
    assertThat(mostRuns).isEqualTo(labelled ? 0 : 1);
    assertThat(fixture.workers.violations()).isEmpty();
    fixture.run(60_000);
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
    assertThat(fixture.workers.violations()).isEmpty();
  }

  private static void restart(CellFixture fixture, Order order, Map<String, WorkerEntry> former) {
    fixture.workers.restartAs(WORKER, SMALL, "b");
    switch (order) {
      case REPORT_BEFORE_ENTRY -> letReport(fixture, former, false);
      case ENTRY_BEFORE_REPORT -> {
        fixture.workers.disconnect(WORKER, true);
        fixture.run(1_000);
        assertThat(fixture.workers.running(WORKER)).isZero();
        fixture.workers.disconnect(WORKER, false);
      }
      case FORMER_ENTRY_READ_LATE -> letReport(fixture, former, true);
      case TWO_LIVES_IN_ONE_READ -> {
        letReport(fixture, former, false);
        fixture.workers.restartAs(WORKER, new Resources(6_000, 16_000, 0), "a");
        letReport(fixture, former, false);
        fixture.workers.restartAs(WORKER, SMALL, "b");
      }
      case UNLISTED_MEANWHILE -> {
        fixture.cell().updateDirectory(Map.of());
        letReport(fixture, former, true);
      }
      default -> throw new IllegalArgumentException(order.name());
    }
  }

  /** Lets the worker report, while the directory is not read again, or read as it was. */
  private static void letReport(
      CellFixture fixture, Map<String, WorkerEntry> former, boolean readsFormer) {
    for (int i = 0; i < 12; i++) {
      fixture.cell().setCommandsAllowed(true);
      if (readsFormer) {
        fixture.cell().updateDirectory(former);
      }
      fixture.timer.advance(250);
      assertThat(fixture.workers.running(WORKER)).isZero();
    }
  }

  private static StepSpec step(boolean labelled) {
    return new StepSpec(
        72,
        new Resources(4_000, 1_000, 0),
        1_500,
        List.of(),
        false,
        false,
        false,
        labelled ? Optional.of("a") : Optional.empty(),
        Optional.empty(),
        0);
  }
}

package org.vanillacove.state.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.Supplier;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.vanillacove.state.api.Admission;
import org.vanillacove.state.api.Placer;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.api.WorkloadKind;

/** Tests the first-fit and best-fit baselines, which place jobs in order of arrival. */
final class ArrivalOrderPlacerTest {
  static Stream<Arguments> placers() {
    Supplier<Placer> first = FirstFitPlacer::new;
    Supplier<Placer> best = BestFitPlacer::new;
    return Stream.of(Arguments.of("first fit", first), Arguments.of("best fit", best));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("placers")
  void tasksBeyondFreeCapacityWaitForAnEndedTask(String name, Supplier<Placer> supplier) {
    Placer placer = twoWorkers(supplier);
    placer.submit("a", Specs.job(WorkloadKind.BATCH, PriorityClass.NORMAL, 5, Specs.size(4, 4)), 0);
    assertThat(placer.decide(0, 100)).hasSize(4);
    assertThat(placer.explain("a", 0)).isPresent();
    placer.taskEnded(new TaskId("a", 0), TaskOutcome.SUCCEEDED, 1);
    assertThat(placer.decide(1, 100)).hasSize(1);
    assertThat(placer.explain("a", 1)).isEmpty();
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("placers")
  void gangStartsWholeOrNotAtAll(String name, Supplier<Placer> supplier) {
    Placer placer = twoWorkers(supplier);
    placer.submit("a", Specs.job(WorkloadKind.GANG, PriorityClass.NORMAL, 5, Specs.size(4, 4)), 0);
    placer.submit("b", Specs.job(WorkloadKind.GANG, PriorityClass.NORMAL, 4, Specs.size(4, 4)), 0);
    assertThat(placer.decide(0, 100)).hasSize(4);
    assertThat(placer.explain("b", 0)).isEmpty();
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("placers")
  void restoredTaskHoldsCapacityAndDrainingWorkerIsSkipped(String name, Supplier<Placer> supplier) {
    Placer placer = twoWorkers(supplier);
    placer.submit(
        "a", Specs.job(WorkloadKind.SERVICE, PriorityClass.NORMAL, 2, Specs.size(8, 4)), 0);
    placer.restore(new TaskId("a", 1), "w1", 0);
    placer.setWorkerStatus("w2", WorkerStatus.DRAINING);
    assertThat(placer.decide(0, 100)).isEmpty();
    placer.setWorkerStatus("w2", WorkerStatus.ACTIVE);
    assertThat(placer.decide(0, 100)).hasSize(1);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("placers")
  void taskLargerThanEveryWorkerIsRejected(String name, Supplier<Placer> supplier) {
    Placer placer = twoWorkers(supplier);
    Admission admission =
        placer.check(Specs.job(WorkloadKind.BATCH, PriorityClass.LOW, 1, Specs.size(9, 1)));
    assertThat(admission)
        .isInstanceOfSatisfying(
            Admission.NeverFits.class, n -> assertThat(n.constraint()).contains("cpu 9000m"));
  }

  private static Placer twoWorkers(Supplier<Placer> supplier) {
    Placer placer = supplier.get();
    placer.addWorker(Specs.worker("w1", "a1", "r1"));
    placer.addWorker(Specs.worker("w2", "b1", "r2"));
    return placer;
  }
}

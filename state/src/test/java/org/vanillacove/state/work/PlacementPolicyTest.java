package org.vanillacove.state.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillacove.state.api.Resources;

/** Checks the choice of workers of unlike speed, and which are kept free for a waiting gang. */
class PlacementPolicyTest {
  private static final Resources CAPACITY = new Resources(64_000, 262_144, 0);

  /** Four workers that are nearly full; only the first two have label {@code b}. */
  private static List<WorkerCapacity> workers() {
    return IntStream.range(0, 4)
        .mapToObj(
            i ->
                new WorkerCapacity(
                    "w" + i,
                    "r1-1",
                    i < 2 ? Set.of("a", "b") : Set.of("a"),
                    CAPACITY,
                    new Resources(1_000, 1_000, 0),
                    1,
                    1))
        .toList();
  }

  private static StepSpec gang(int count, Resources demand, String label, int maxPerWorker) {
    return new StepSpec(
        count,
        demand,
        1_000,
        List.of(),
        false,
        true,
        false,
        Optional.of(label),
        Optional.empty(),
        maxPerWorker);
  }

  // Guards against workers that are kept free for a gang that can never be placed.
  @ParameterizedTest
  @CsvSource({
    "12, 18000,  68000, a, 0, w0 w1 w2 w3",
    "13, 18000,  68000, a, 0, ''",
    "1,  18000, 300000, a, 0, ''",
    "1,  65000,   1000, a, 0, ''",
    "1,  1000,    1000, c, 0, ''",
    "6,  18000,  68000, b, 0, w0 w1",
    "7,  18000,  68000, b, 0, ''",
    "4,  18000,  68000, a, 1, w0 w1 w2 w3",
    "5,  18000,  68000, a, 1, ''",
  })
  void workersAreReservedOnlyIfTheGangFitsOnThem(
      int count, long cpu, long memory, String label, int maxPerWorker, String expected) {
    StepSpec gang = gang(count, new Resources(cpu, memory, 0), label, maxPerWorker);
    Set<String> reserved = PlacementPolicy.workersToReserve(gang, workers());
    assertThat(String.join(" ", reserved.stream().sorted().toList())).isEqualTo(expected);
  }

  private static List<WorkerCapacity> workersOfSpeeds(List<Double> speeds, long freeCpu) {
    return IntStream.range(0, speeds.size())
        .mapToObj(
            i ->
                new WorkerCapacity(
                    "w" + i,
                    "r1-1",
                    Set.of("a"),
                    CAPACITY,
                    new Resources(freeCpu, 262_144, 0),
                    0,
                    speeds.get(i)))
        .toList();
  }

  // A gang ends with its slowest member.
  @ParameterizedTest
  @CsvSource({
    "2, 0.6 1.0 1.6 1.6, w2 w3",
    "3, 0.6 1.0 1.6 1.6, w1 w2 w3",
    "4, 0.6 1.0 1.6 1.6, w0 w1 w2 w3",
    "2, 1.0 1.0 1.0 1.0, w0 w1",
    "2, 1.0 1.1 1.0 1.0, w0 w1",
  })
  void gangGoesToTheFastestWorkersThatHoldIt(int count, String speeds, String expected) {
    List<Double> each = Arrays.stream(speeds.split(" ")).map(Double::valueOf).toList();
    StepSpec gang = gang(count, new Resources(18_000, 1_000, 0), "a", 1);
    List<String> placed = PlacementPolicy.place(gang, count, workersOfSpeeds(each, 18_000));
    assertThat(String.join(" ", placed.stream().sorted().toList())).isEqualTo(expected);
    List<String> queried = PlacementPolicy.mostSlots(gang, workersOfSpeeds(each, 18_000), count);
    assertThat(String.join(" ", queried.stream().sorted().toList())).isEqualTo(expected);
  }

  // Only tasks that would be late on a slow worker leave the order of best fit.
  @ParameterizedTest
  @CsvSource({"true, 1, w1", "false, 1, w0", "true, 3, w0 w1 w1"})
  void urgentTasksGoToFastWorkers(boolean urgent, int count, String expected) {
    StepSpec step =
        new StepSpec(
            count,
            new Resources(9_000, 1_000, 0),
            500,
            List.of(),
            false,
            false,
            false,
            Optional.empty(),
            Optional.empty(),
            0);
    List<WorkerCapacity> workers =
        List.of(
            workersOfSpeeds(List.of(0.6, 1.6), 9_000).getFirst(),
            workersOfSpeeds(List.of(0.6, 1.6), 18_000).getLast());
    List<String> placed = PlacementPolicy.place(step, count, workers, urgent);
    assertThat(String.join(" ", placed.stream().sorted().toList())).isEqualTo(expected);
  }
}

package org.vanillacove.state.tenancy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillacove.state.api.Resources;

/** Replays a hot organisation beside many small ones, and tests the order of service. */
class FairShareTest {
  private static final int SMALL_ORGANISATIONS = 20;
  private static final int CORES = 100;
  private static final long RUN_MILLIS = 2_000;
  private static final long STEP_MILLIS = 100;
  private static final long DAY_MILLIS = 60_000;

  /** A task of one core that waits or runs. */
  private record Task(String organisation, long sentMillis) {}

  /** A run that ends at a time. */
  private record Run(Task task, long endMillis) {}

  // 20 small organisations use 40 of 100 cores; the hot one sends 10 times its usual 20 cores.
  @ParameterizedTest
  @CsvSource({"1,1", "1,4", "5,1"})
  void smallOrganisationsDoNotWaitBehindTheHotOne(double smallWeight, double hotWeight) {
    Map<String, Double> weights = new HashMap<>();
    weights.put("hot", hotWeight);
    for (int i = 0; i < SMALL_ORGANISATIONS; i++) {
      weights.put("small" + i, smallWeight);
    }
    Map<String, Long> longest = play(new FairShare(new Resources(CORES, 0, 0), weights));
    long worst = longestOfSmall(longest);
    assertThat(worst).isLessThanOrEqualTo(RUN_MILLIS);
    assertThat(longest.get("hot")).isGreaterThan(worst);
  }

  private static long longestOfSmall(Map<String, Long> longest) {
    return longest.entrySet().stream()
        .filter(each -> !each.getKey().equals("hot"))
        .mapToLong(Map.Entry::getValue)
        .max()
        .orElseThrow();
  }

  /** Plays the load and returns the longest wait of a task of each organisation. */
  private static Map<String, Long> play(FairShare policy) {
    List<Task> waiting = new ArrayList<>();
    List<Run> running = new ArrayList<>();
    Map<String, Long> longest = new HashMap<>();
    for (long now = 0; now < DAY_MILLIS; now += STEP_MILLIS) {
      long time = now;
      running.removeIf(run -> run.endMillis() <= time);
      for (int i = 0; i < 10; i++) {
        waiting.add(new Task("hot", now));
      }
      if (now % 1_000 == 0) {
        for (int i = 0; i < SMALL_ORGANISATIONS; i++) {
          waiting.add(new Task("small" + i, now));
        }
      }
      Function<String, Resources> use =
          name ->
              new Resources(
                  running.stream().filter(r -> r.task().organisation().equals(name)).count(), 0, 0);
      List<List<Task>> classes = List.of(List.copyOf(waiting));
      for (Task task : policy.order(classes, view(Task::organisation, use))) {
        if (running.size() == CORES) {
          break;
        }
        running.add(new Run(task, now + RUN_MILLIS));
        waiting.remove(task);
        longest.merge(task.organisation(), now - task.sentMillis(), Math::max);
      }
      // No core is idle while a task waits.
      assertThat(running.size() == CORES || waiting.isEmpty()).isTrue();
    }
    waiting.forEach(
        task -> longest.merge(task.organisation(), DAY_MILLIS - task.sentMillis(), Math::max));
    return longest;
  }

  @ParameterizedTest
  @CsvSource({"1,1,50,50", "1,3,25,75", "0,1,50,50", "2,0,50,50"})
  void sharesFollowTheWeightsWhenAllIsFull(double a, double b, int runsOfA, int runsOfB) {
    FairShare policy = new FairShare(new Resources(CORES, 0, 0), Map.of("a", a, "b", b));
    Map<String, Integer> started = new HashMap<>(Map.of("a", 0, "b", 0));
    List<String> work = new ArrayList<>();
    for (int i = 0; i < CORES; i++) {
      work.add("a");
    }
    for (int i = 0; i < CORES; i++) {
      work.add("b");
    }
    int free = CORES;
    Function<String, Resources> use = name -> new Resources(started.get(name), 0, 0);
    for (String each : policy.order(List.of(work), view(name -> name, use))) {
      if (free == 0) {
        break;
      }
      free--;
      started.merge(each, 1, Integer::sum);
    }
    assertThat(started).isEqualTo(Map.of("a", runsOfA, "b", runsOfB));
  }

  // Of organisations without runs, a wide step doesn't go before many small ones.
  @Test
  void smallestItemGoesFirstAmongEqualUses() {
    FairShare policy = new FairShare(new Resources(CORES, 0, 0), Map.of("wide", 10.0));
    List<String> served = new ArrayList<>();
    Function<String, Resources> demand =
        name -> new Resources(name.equals("wide") ? CORES : 1, 0, 0);
    policy
        .order(
            List.of(List.of("wide", "a", "b")),
            new FairShare.View<>(name -> name, demand, name -> Resources.NONE))
        .forEach(served::add);
    assertThat(served).containsExactly("a", "b", "wide");
  }

  private static <T> FairShare.View<T> view(
      Function<T, String> organisation, Function<String, Resources> use) {
    return new FairShare.View<>(organisation, item -> new Resources(1, 0, 0), use);
  }

  @Test
  void mostUsedComponentCounts() {
    FairShare policy = new FairShare(new Resources(100, 1_000, 10), Map.of("a", 1.0, "b", 2.0));
    assertThat(policy.weightedUse("a", new Resources(10, 500, 1))).isEqualTo(0.5);
    assertThat(policy.weightedUse("b", new Resources(10, 500, 6))).isEqualTo(0.3);
    assertThat(policy.weightedUse("c", new Resources(30, 0, 0))).isCloseTo(0.2, within(1e-9));
  }

  @ParameterizedTest
  @CsvSource({
    // own work, work of one of weight 1, work of one of weight 2, preceding work
    "0,100,100,0",
    "10,100,100,40",
    "10,100,0,20",
    "10,0,0,10",
    "80,100,100,280",
    "10,1,1,12"
  })
  void workOfOthersPrecedesByTheirWeights(
      double own, double first, double second, double preceding) {
    FairShare policy =
        new FairShare(new Resources(CORES, 0, 0), Map.of("own", 1.0, "first", 1.0, "second", 2.0));
    Map<String, Double> backlogs = Map.of("own", own, "first", first, "second", second);
    assertThat(policy.precedingWork(backlogs, "own")).isCloseTo(preceding, within(1e-9));
  }

  // Urgency goes before shares, and the items of one organisation keep their order.
  @Test
  void classesAndOrderWithinAnOrganisationAreKept() {
    FairShare policy = new FairShare(new Resources(CORES, 0, 0), Map.of("a", 1.0, "b", 1.0));
    Map<String, Resources> use = Map.of("a", new Resources(5, 0, 0), "b", Resources.NONE);
    List<String> served = new ArrayList<>();
    policy
        .order(
            List.of(List.of("a1", "b1", "a2"), List.of("a3", "b2")),
            view(item -> item.substring(0, 1), use::get))
        .forEach(served::add);
    assertThat(served).containsExactly("b1", "a1", "a2", "b2", "a3");
  }

  @ParameterizedTest
  @ValueSource(longs = {0, 10_000, 10_001})
  void firstItemOfAnOrganisationThatWaitsTooLongIsOverdue(long waited) {
    List<String> overdue =
        FairShare.overdue(
            List.of("a1", "b1", "b2"),
            item -> item.substring(0, 1),
            item -> item.startsWith("b") ? waited : 0);
    assertThat(overdue).isEqualTo(waited > 10_000 ? List.of("b1") : List.of());
  }
}

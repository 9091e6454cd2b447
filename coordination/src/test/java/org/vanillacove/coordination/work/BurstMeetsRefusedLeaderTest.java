package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillacove.coordination.work.api.JobView;
import org.vanillacove.state.work.JobSpec;
import org.vanillacove.state.work.QueuePolicy;

/**
 * Guards against an overload that outlasts its cause: a burst of jobs meets a leader that the store
 * refuses, leadership changes while a worker is lost, and afterwards jobs are rejected or late
 * although workers are free.
 */
class BurstMeetsRefusedLeaderTest {
  /** Time after the cause within which service is normal again, in milliseconds. */
  private static final long RECOVERY_MILLIS = 15_000;

  /** Time between two jobs of the usual load, which uses half of the cores. */
  private static final long INTERVAL_MILLIS = 250;

  private static final long OBJECTIVE_MILLIS = 3_000;

  private final CellFixture fixture = new CellFixture(1, false, 10_000);
  private final Map<String, Long> submittedMillis = new HashMap<>();
  private final Map<String, Long> endMillis = new HashMap<>();
  private int jobs;

  @ParameterizedTest
  @CsvSource({
    // burst strength, length of the burst, length of the refusal, changes of leader
    "2, 2000, 2000, 1",
    "2, 4000, 4000, 1",
    "4, 4000, 2000, 1",
    "4, 4000, 7000, 1",
    "8, 4000, 4000, 1",
    "2, 2000, 2000, 2",
    "4, 4000, 7000, 2",
    "8, 8000, 7000, 2",
    "2, 4000, 7000, 3",
    "8, 4000, 7000, 3",
  })
  void serviceIsNormalSoonAfterABurstThatMeetsARefusedLeader(
      int strength, long burstMillis, long refusedMillis, int changes) {
    fixture.startLeader(
        List.of(
            new QueuePolicy(
                CellFixture.QUEUE,
                CellFixture.ADDRESS,
                CellFixture.SERVICE,
                1,
                3,
                1,
                OBJECTIVE_MILLIS - 1_000,
                Optional.empty())));
    fixture.run(1_000);
    load(4_000, 1);
    fixture.workers.disconnect("w5", true);
    long causeMillis = Math.max(burstMillis, refusedMillis);
    for (long passed = 0; passed < causeMillis; passed += INTERVAL_MILLIS) {
      boolean refused = passed < refusedMillis / 3;
      fixture.store.fault(refused ? FakeStore.Fault.REJECTS : FakeStore.Fault.NONE);
      if (passed > 0 && changes > 0 && passed % (causeMillis / (changes + 1)) < INTERVAL_MILLIS) {
        fixture.startLeader();
      }
      load(INTERVAL_MILLIS, passed < burstMillis ? strength : 1);
    }
    fixture.store.fault(FakeStore.Fault.NONE);
    load(RECOVERY_MILLIS, 1);
    long recovered = fixture.timer.monotonicMillis();
    load(5_000, 1);
    load(OBJECTIVE_MILLIS, 0);
    List<String> unserved = new ArrayList<>();
    submittedMillis.forEach(
        (job, millis) -> {
          if (millis >= recovered && !isOnTime(job)) {
            unserved.add(job + " " + fixture.outcomes.get(job));
          }
        });
    assertThat(unserved).isEmpty();
  }

  private boolean isOnTime(String job) {
    return endMillis.containsKey(job)
        && endMillis.get(job) - submittedMillis.get(job) <= OBJECTIVE_MILLIS;
  }

  private void load(long millis, int strength) {
    for (long passed = 0; passed < millis; passed += INTERVAL_MILLIS) {
      for (int i = 0; i < strength; i++) {
        jobs++;
        String id = "%016x".formatted(jobs);
        submittedMillis.put(id, fixture.timer.monotonicMillis());
        JobSpec job = CellFixture.job(id, CellFixture.step(5, 1_000, 1_000, false, List.of()));
        fixture.submit(job);
      }
      fixture.run(INTERVAL_MILLIS);
      noteEnds();
    }
  }

  private void noteEnds() {
    submittedMillis.keySet().stream()
        .filter(job -> !endMillis.containsKey(job))
        .filter(job -> fixture.cell().findJob(job).filter(JobView.COMPLETED::equals).isPresent())
        .toList()
        .forEach(job -> endMillis.put(job, fixture.timer.monotonicMillis()));
  }
}

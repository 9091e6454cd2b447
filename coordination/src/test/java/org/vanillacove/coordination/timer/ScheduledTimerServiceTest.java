package org.vanillacove.coordination.timer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.vanillacove.protocol.timer.TimerService;

/** Tests of {@link ScheduledTimerService}. */
class ScheduledTimerServiceTest {
  private static final Duration TICK = Duration.ofMillis(5);

  private final ScheduledTimerService timer =
      new ScheduledTimerService(InstantSource.fixed(Instant.ofEpochMilli(1234)));

  @AfterEach
  void close() {
    timer.close();
  }

  @Test
  void slowSubscriberDoesNotDelayOthers() throws InterruptedException {
    CountDownLatch release = new CountDownLatch(1);
    CountDownLatch ticks = new CountDownLatch(5);
    timer.every(TICK, () -> awaitQuietly(release));
    timer.every(TICK, ticks::countDown);
    assertThat(ticks.await(10, TimeUnit.SECONDS)).isTrue();
    release.countDown();
  }

  @Test
  void periodicRunsNeverOverlap() {
    AtomicInteger concurrent = new AtomicInteger();
    AtomicInteger maximum = new AtomicInteger();
    Semaphore permits = new Semaphore(0);
    timer.every(
        TICK,
        () -> {
          maximum.accumulateAndGet(concurrent.incrementAndGet(), Math::max);
          permits.acquireUninterruptibly();
          concurrent.decrementAndGet();
        });
    await().until(() -> timer.skippedTicks() >= 3);
    permits.release(1000);
    long skipped = timer.skippedTicks();
    await().until(() -> permits.availablePermits() < 998);
    assertThat(maximum).hasValue(1);
    assertThat(skipped).isGreaterThanOrEqualTo(3);
  }

  @Test
  void failingRunDoesNotEndPeriodicTimer() {
    AtomicInteger runs = new AtomicInteger();
    timer.every(
        TICK,
        () -> {
          runs.incrementAndGet();
          throw new IllegalStateException("intended");
        });
    await().untilAsserted(() -> assertThat(runs.get()).isGreaterThan(2));
  }

  @Test
  void cancelledTimerDoesNotRun() {
    AtomicInteger cancelledRuns = new AtomicInteger();
    AtomicInteger runs = new AtomicInteger();
    TimerService.Subscription once =
        timer.after(TICK.multipliedBy(4), cancelledRuns::incrementAndGet);
    once.cancel();
    timer.after(TICK.multipliedBy(8), runs::incrementAndGet);
    await().untilAsserted(() -> assertThat(runs).hasValue(1));
    assertThat(cancelledRuns).hasValue(0);
  }

  @Test
  void closedServiceDropsNewTimers() {
    timer.close();
    AtomicInteger runs = new AtomicInteger();
    timer.after(Duration.ZERO, runs::incrementAndGet).cancel();
    assertThat(runs).hasValue(0);
    assertThat(timer.wallMillis()).isEqualTo(1234);
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

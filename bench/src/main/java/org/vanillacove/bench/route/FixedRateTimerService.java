package org.vanillacove.bench.route;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.vanillacove.protocol.timer.TimerService;

/**
 * Real-time timer service for measurements over sockets. Unlike the timer service used in
 * production, it catches up on late ticks, so that requests are sent at a constant rate.
 */
final class FixedRateTimerService implements TimerService {
  /** Runs the actions of all timers. */
  private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(2);

  @Override
  public long monotonicMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  @Override
  public long wallMillis() {
    return System.currentTimeMillis();
  }

  @Override
  public Subscription after(Duration delay, Runnable action) {
    Future<?> task = executor.schedule(action, delay.toMillis(), TimeUnit.MILLISECONDS);
    return () -> task.cancel(false);
  }

  @Override
  public Subscription every(Duration period, Runnable action) {
    long millis = period.toMillis();
    Future<?> task = executor.scheduleAtFixedRate(action, millis, millis, TimeUnit.MILLISECONDS);
    return () -> task.cancel(false);
  }

  void sleep(Duration time) throws InterruptedException {
    CountDownLatch latch = new CountDownLatch(1);
    after(time, latch::countDown);
    latch.await();
  }

  void close() {
    executor.shutdownNow();
  }
}

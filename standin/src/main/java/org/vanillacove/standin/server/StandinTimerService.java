package org.vanillacove.standin.server;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.vanillacove.protocol.timer.TimerService;

/** Timer service of the stand-in process; runs all actions on one daemon thread. */
final class StandinTimerService implements TimerService {
  /** Single-threaded scheduler of the actions. */
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().daemon().name("standin-timer").factory());

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
    ScheduledFuture<?> future = executor.schedule(action, delay.toMillis(), TimeUnit.MILLISECONDS);
    return () -> future.cancel(false);
  }

  @Override
  public Subscription every(Duration period, Runnable action) {
    long millis = period.toMillis();
    ScheduledFuture<?> future =
        executor.scheduleWithFixedDelay(action, millis, millis, TimeUnit.MILLISECONDS);
    return () -> future.cancel(false);
  }
}

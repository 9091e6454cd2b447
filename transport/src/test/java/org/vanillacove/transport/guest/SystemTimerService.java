package org.vanillacove.transport.guest;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.vanillacove.protocol.timer.TimerService;

/** Timers on the system clock, for tests that use sockets. */
final class SystemTimerService implements TimerService, AutoCloseable {
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

  @Override
  public void close() {
    executor.shutdownNow();
  }
}

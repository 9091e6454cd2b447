package org.vanillacove.protocol.timer;

import java.time.Duration;

/** Source of monotonic and wall time and of timers. */
public interface TimerService {
  /** Returns monotonic time in milliseconds; only differences are meaningful. */
  long monotonicMillis();

  /** Returns wall time in milliseconds since the Unix epoch; for display and records only. */
  long wallMillis();

  /** Schedules {@code action} to run once after {@code delay}. */
  Subscription after(Duration delay, Runnable action);

  /** Schedules {@code action} to run every {@code period}, first after one period. */
  Subscription every(Duration period, Runnable action);

  /** A timer that can be cancelled. */
  @FunctionalInterface
  interface Subscription {
    /** Cancels the timer; a run that has begun is not stopped. */
    void cancel();
  }
}

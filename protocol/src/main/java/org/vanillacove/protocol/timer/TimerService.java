package org.vanillacove.protocol.timer;

import java.time.Duration;

/** Monotonic and wall time, and timers that parts subscribe to. */
public interface TimerService {
  /** Returns monotonic time in milliseconds; only differences mean anything. */
  long monotonicMillis();

  /** Returns wall time in milliseconds since the Unix epoch; for display and records only. */
  long wallMillis();

  /** Runs {@code action} once after {@code delay}. */
  Subscription after(Duration delay, Runnable action);

  /** Runs {@code action} every {@code period}, first after one period. */
  Subscription every(Duration period, Runnable action);

  /** A timer that can be cancelled. */
  @FunctionalInterface
  interface Subscription {
    /** Cancels the timer; a run that has begun is not stopped. */
    void cancel();
  }
}

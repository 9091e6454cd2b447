package org.vanillacove.bench.faults;

import java.time.Duration;
import org.vanillacove.protocol.timer.TimerService;

/** A clock that runs faster or slower than the clock of the schedule. */
final class DriftingTimer implements TimerService {
  /** Thousandths in one. */
  private static final long WHOLE = 1_000;

  /** Clock of the schedule. */
  private final TimerService clock;

  /** Rate of this clock in thousandths of that of the schedule. */
  private final long rate;

  DriftingTimer(TimerService clock, int driftPerMille) {
    this.clock = clock;
    this.rate = WHOLE + driftPerMille;
  }

  @Override
  public long monotonicMillis() {
    return clock.monotonicMillis() * rate / WHOLE;
  }

  @Override
  public long wallMillis() {
    return clock.wallMillis();
  }

  @Override
  public Subscription after(Duration delay, Runnable action) {
    return clock.after(scaled(delay), action);
  }

  @Override
  public Subscription every(Duration period, Runnable action) {
    return clock.every(scaled(period), action);
  }

  private Duration scaled(Duration duration) {
    return Duration.ofMillis(Math.ceilDiv(duration.toMillis() * WHOLE, rate));
  }
}

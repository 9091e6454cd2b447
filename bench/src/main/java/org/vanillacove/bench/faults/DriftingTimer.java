package org.vanillacove.bench.faults;

import java.time.Duration;
import org.vanillacove.protocol.timer.TimerService;

/** Timer service whose clock runs faster or slower than the clock of the schedule. */
final class DriftingTimer implements TimerService {
  /** Denominator of {@link #rate}: a clock with this rate does not drift. */
  private static final long RATE_DENOMINATOR = 1_000;

  /** Clock of the schedule, which does not drift. */
  private final TimerService clock;

  /** Rate of this clock, in thousandths of the rate of the schedule's clock. */
  private final long rate;

  DriftingTimer(TimerService clock, int driftPerMille) {
    this.clock = clock;
    this.rate = RATE_DENOMINATOR + driftPerMille;
  }

  @Override
  public long monotonicMillis() {
    return clock.monotonicMillis() * rate / RATE_DENOMINATOR;
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
    return Duration.ofMillis(Math.ceilDiv(duration.toMillis() * RATE_DENOMINATOR, rate));
  }
}

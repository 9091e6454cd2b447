package org.vanillacove.state.tenancy;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Age of the configuration that was last read to the end of the operator's topic. The load that it
 * answers: hosts that are cut off from the store, refused by it or suspended while keys are
 * revoked. Such a host must stop to serve calls with keys by itself, since nobody can tell it.
 */
public final class ConfigurationFreshness {
  /** Clocks when the request of the last answered read was sent; empty before the first. */
  private Optional<ClockReading> confirmed = Optional.empty();

  /**
   * Both clocks of a host at one moment.
   *
   * @param monotonicMillis monotonic time, which may stand still while the machine is suspended
   * @param wallMillis wall-clock time, which may be set forward or back
   */
  public record ClockReading(long monotonicMillis, long wallMillis) {}

  /**
   * Records an answered read.
   *
   * @param sent clocks when its request was sent: the answer may have been under way for long
   */
  public void confirm(ClockReading sent) {
    boolean older =
        confirmed.filter(last -> last.monotonicMillis() > sent.monotonicMillis()).isPresent();
    if (!older) {
      confirmed = Optional.of(sent);
    }
  }

  /**
   * Returns the age of the configuration in milliseconds, by the clock that says more. Empty if
   * nothing was read, or if the wall clock was set back, which may hide a suspension.
   */
  public OptionalLong ageMillis(ClockReading now) {
    if (confirmed.isEmpty()) {
      return OptionalLong.empty();
    }
    long wallAge = now.wallMillis() - confirmed.get().wallMillis();
    long monotonicAge = now.monotonicMillis() - confirmed.get().monotonicMillis();
    return wallAge < 0 ? OptionalLong.empty() : OptionalLong.of(Math.max(wallAge, monotonicAge));
  }

  /** Returns whether the age is known and at most {@code maxAgeMillis}. */
  public boolean isFresh(ClockReading now, long maxAgeMillis) {
    OptionalLong age = ageMillis(now);
    return age.isPresent() && age.getAsLong() <= maxAgeMillis;
  }
}

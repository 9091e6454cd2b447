package org.vanillacove.state.leadership;

import java.util.OptionalLong;

/**
 * Decides whether a leader can't keep up with its work. Answers a burst that meets a leader with
 * too little processor time, or too thin a link: its event loop lags, or workers seem silent since
 * their answers don't reach it in time. Hysteresis keeps short peaks from changing the leader.
 */
public final class LeaderLoad {
  /** Lag of the event loop from which on a leader can't keep up, in milliseconds. */
  private static final long MAX_LAG_MILLIS = 300;

  /** Lag below which it keeps up again, in milliseconds. */
  private static final long LOW_LAG_MILLIS = 100;

  /** Share of silent workers from which on a leader can't keep up; more than a lost rack. */
  private static final double MAX_SILENT_SHARE = 0.25;

  /** Share of silent workers below which it keeps up again. */
  private static final double LOW_SILENT_SHARE = 0.1;

  /** Time for which the load must last until the leader counts as overloaded, in milliseconds. */
  private static final long MIN_OVERLOAD_MILLIS = 1_000;

  /** Time since which the load has been too high, in milliseconds; empty while it is not. */
  private OptionalLong highSinceMillis = OptionalLong.empty();

  /** Whether the leader counts as overloaded. */
  private boolean overloaded;

  /**
   * Takes in a measurement.
   *
   * @param nowMillis monotonic time of the measurement, in milliseconds
   * @param lagMillis recent lag of the leader's event loop, in milliseconds
   * @param silentShare share of the workers that don't answer the leader, 0 to 1
   * @return whether the leader is overloaded
   */
  public boolean observe(long nowMillis, long lagMillis, double silentShare) {
    boolean high = lagMillis >= MAX_LAG_MILLIS || silentShare >= MAX_SILENT_SHARE;
    boolean low = lagMillis < LOW_LAG_MILLIS && silentShare < LOW_SILENT_SHARE;
    if (high && highSinceMillis.isEmpty()) {
      highSinceMillis = OptionalLong.of(nowMillis);
    }
    if (low) {
      highSinceMillis = OptionalLong.empty();
      overloaded = false;
    }
    overloaded |=
        high
            && highSinceMillis.isPresent()
            && nowMillis - highSinceMillis.getAsLong() >= MIN_OVERLOAD_MILLIS;
    return overloaded;
  }

  /** Forgets all measurements, at the begin of a term. */
  public void reset() {
    highSinceMillis = OptionalLong.empty();
    overloaded = false;
  }
}

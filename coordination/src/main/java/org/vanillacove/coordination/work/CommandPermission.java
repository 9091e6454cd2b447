package org.vanillacove.coordination.work;

import org.vanillacove.protocol.timer.TimerService;

/**
 * Permission to send commands to workers, granted by a check of the leadership. It expires soon, so
 * that a process that was suspended checks before it sends anything.
 */
final class CommandPermission {
  /** Time for which a permission holds without a further check: several checks. */
  private static final long VALID_MILLIS = 1_000;

  /** Clocks by which the age of the last check is measured. */
  private final TimerService timer;

  /** Monotonic time in milliseconds until which the outcome of the last check holds. */
  private long validUntilMillis;

  /**
   * Wall-clock time of the last check, in milliseconds. Unlike the monotonic clock, the wall clock
   * counts the time for which the machine was suspended.
   */
  private long checkedWallMillis;

  /** Outcome of the last check. */
  private boolean allowed;

  /** Creates a permission that is granted now. */
  CommandPermission(TimerService timer) {
    this.timer = timer;
    renew(true);
  }

  /** Replaces the outcome of the last check. */
  void renew(boolean nowAllowed) {
    validUntilMillis = timer.monotonicMillis() + VALID_MILLIS;
    checkedWallMillis = timer.wallMillis();
    allowed = nowAllowed;
  }

  /** Returns whether the last check granted the permission and is recent by both clocks. */
  boolean isGranted() {
    // A wall clock that was set back may hide a suspension.
    long wallAgeMillis = timer.wallMillis() - checkedWallMillis;
    return allowed
        && timer.monotonicMillis() < validUntilMillis
        && wallAgeMillis >= 0
        && wallAgeMillis < VALID_MILLIS;
  }
}

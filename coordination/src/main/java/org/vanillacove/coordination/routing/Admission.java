package org.vanillacove.coordination.routing;

/** Whether a request got a slot of a backend server. */
public sealed interface Admission {
  /**
   * The request holds a slot.
   *
   * @param hold the slot
   */
  record Granted(SlotHold hold) implements Admission {}

  /**
   * The request got no slot and was not run.
   *
   * @param reason why
   * @param retryAfterMillis when another try has a chance, in milliseconds
   */
  record Refused(String reason, long retryAfterMillis) implements Admission {}
}

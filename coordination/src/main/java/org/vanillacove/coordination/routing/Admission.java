package org.vanillacove.coordination.routing;

/** Decision whether a request is admitted to a backend server. */
public sealed interface Admission {
  /**
   * The request was granted a slot.
   *
   * @param hold slot to release when the request ends
   */
  record Granted(SlotHold hold) implements Admission {}

  /**
   * The request was rejected before it ran.
   *
   * @param reason explanation for the guest
   * @param retryAfterMillis delay after which the guest should retry, in milliseconds
   */
  record Refused(String reason, long retryAfterMillis) implements Admission {}
}

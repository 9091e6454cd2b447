package org.vanillacove.protocol.configuration;

import java.time.Instant;
import java.util.Optional;

/**
 * An exception from the fleet defaults.
 *
 * @param name unique name
 * @param scope what it applies to
 * @param field field that it changes
 * @param value value of the field within the scope
 * @param reason why it is needed
 * @param owner who answers for it
 * @param expires when it ends by itself
 */
public record ExceptionRule(
    String name,
    ExceptionScope scope,
    ExceptionField field,
    ExceptionValue value,
    String reason,
    String owner,
    Optional<Instant> expires) {
  /** Returns whether it has ended by {@code now}. */
  public boolean isExpired(Instant now) {
    return expires.isPresent() && !now.isBefore(expires.get());
  }
}

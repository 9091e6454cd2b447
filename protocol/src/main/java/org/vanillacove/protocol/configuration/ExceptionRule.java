package org.vanillacove.protocol.configuration;

import java.time.Instant;
import java.util.Optional;

/**
 * An exception that overrides a fleet default within a scope.
 *
 * @param name name, unique in the document
 * @param scope teams, regions or workloads that it applies to
 * @param field field that it overrides
 * @param value value of the field within the scope
 * @param reason why it is needed
 * @param owner person or team responsible for it
 * @param expires time at which it expires, empty if it does not
 */
public record ExceptionRule(
    String name,
    ExceptionScope scope,
    ExceptionField field,
    ExceptionValue value,
    String reason,
    String owner,
    Optional<Instant> expires) {
  /** Returns whether the exception has expired at {@code now}. */
  public boolean isExpired(Instant now) {
    return expires.isPresent() && !now.isBefore(expires.get());
  }
}

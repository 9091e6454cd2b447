package org.vanillacove.transport.operator.message;

import java.util.Optional;
import org.vanillacove.protocol.configuration.ExceptionAudit;

/**
 * An exception from the fleet defaults.
 *
 * @param name unique name
 * @param scope what it applies to
 * @param field field that it changes
 * @param value value of the field within the scope
 * @param otherwise value that the field would have without it
 * @param reason why it is needed
 * @param owner who answers for it
 * @param expires when it ends by itself, as an ISO 8601 instant
 * @param effect whether it still changes anything
 */
public record ExceptionMessage(
    String name,
    String scope,
    String field,
    String value,
    String otherwise,
    String reason,
    String owner,
    Optional<String> expires,
    ExceptionAudit.Effect effect) {}

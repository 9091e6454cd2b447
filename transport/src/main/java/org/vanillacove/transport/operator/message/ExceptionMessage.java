package org.vanillacove.transport.operator.message;

import java.util.Optional;
import org.vanillacove.protocol.configuration.ExceptionAudit;

/**
 * An exception from the fleet defaults.
 *
 * @param name unique name
 * @param scope team, region, workload kind or priority class that it applies to
 * @param field field that it overrides
 * @param value value of the field within the scope
 * @param otherwise value of the field without the exception
 * @param reason why it is needed
 * @param owner person or team responsible for it
 * @param expires when it expires, as an ISO 8601 instant; empty if it does not
 * @param effect whether it is in force, has expired or equals the default
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

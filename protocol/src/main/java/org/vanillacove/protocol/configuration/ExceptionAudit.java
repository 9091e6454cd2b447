package org.vanillacove.protocol.configuration;

import java.time.Instant;
import java.util.List;

/** Tells which exceptions of a document still change anything. */
public final class ExceptionAudit {
  private ExceptionAudit() {}

  /** Whether an exception changes anything. */
  public enum Effect {
    /** It changes the value of its field. */
    IN_FORCE,

    /** It has expired. */
    EXPIRED,

    /** It gives its field the value that the defaults give already. */
    SAME_AS_DEFAULT
  }

  /**
   * What was found out about an exception.
   *
   * @param rule the exception
   * @param effect whether it changes anything
   * @param otherwise value its field would have without it, as in documents
   */
  public record Finding(ExceptionRule rule, Effect effect, String otherwise) {}

  /** Returns a finding for each exception of {@code document} at {@code now}, in their order. */
  public static List<Finding> findings(ConfigurationDocument document, Instant now) {
    EffectiveConfiguration plain =
        new EffectiveConfiguration(new ConfigurationDocument(document.defaults(), List.of()), now);
    return document.exceptions().stream().map(rule -> finding(rule, plain, now)).toList();
  }

  private static Finding finding(ExceptionRule rule, EffectiveConfiguration plain, Instant now) {
    String otherwise = plain.valueOf(rule.field(), rule.scope());
    if (rule.isExpired(now)) {
      return new Finding(rule, Effect.EXPIRED, otherwise);
    }
    return new Finding(
        rule,
        otherwise.equals(rule.value().toString()) ? Effect.SAME_AS_DEFAULT : Effect.IN_FORCE,
        otherwise);
  }
}

package org.vanillacove.protocol.configuration;

import java.time.Instant;
import java.util.List;

/** Reports which exceptions of a document still have an effect. */
public final class ExceptionAudit {
  private ExceptionAudit() {}

  /** Effect of an exception on its field. */
  public enum Effect {
    /** The exception changes the value of its field. */
    IN_FORCE,

    /** The exception has expired. */
    EXPIRED,

    /** The exception sets its field to the value of the defaults. */
    SAME_AS_DEFAULT
  }

  /**
   * Result of the audit for one exception.
   *
   * @param rule the audited exception
   * @param effect effect of the exception on its field
   * @param defaultValue value that the defaults give the field, in the notation of documents
   */
  public record Finding(ExceptionRule rule, Effect effect, String defaultValue) {}

  /** Returns one finding per exception of {@code document} at {@code now}, in document order. */
  public static List<Finding> findings(ConfigurationDocument document, Instant now) {
    EffectiveConfiguration defaultsOnly =
        new EffectiveConfiguration(new ConfigurationDocument(document.defaults(), List.of()), now);
    return document.exceptions().stream().map(rule -> finding(rule, defaultsOnly, now)).toList();
  }

  private static Finding finding(
      ExceptionRule rule, EffectiveConfiguration defaultsOnly, Instant now) {
    String otherwise = defaultsOnly.valueOf(rule.field(), rule.scope());
    if (rule.isExpired(now)) {
      return new Finding(rule, Effect.EXPIRED, otherwise);
    }
    return new Finding(
        rule,
        otherwise.equals(rule.value().toString()) ? Effect.SAME_AS_DEFAULT : Effect.IN_FORCE,
        otherwise);
  }
}

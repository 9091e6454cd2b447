package org.vanillacove.transport.operator.message;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.vanillacove.protocol.configuration.ConfigurationText.Change;
import org.vanillacove.protocol.document.FieldFault;

/**
 * Outcome of a change; which fields are present depends on the result.
 *
 * @param result whether the change took effect
 * @param id identifier of the job, worker or proposal concerned
 * @param version log offset of the change, or configuration version
 * @param faults invalid fields and the reasons
 * @param reason cause of an unknown outcome
 * @param conflict the change and the conflicting changes that were accepted before it
 */
public record OutcomeMessage(
    Result result,
    Optional<String> id,
    Optional<Long> version,
    List<FieldFault> faults,
    Optional<String> reason,
    Optional<ConflictMessage> conflict) {
  /** Replaces an absent list by an empty one. */
  public OutcomeMessage {
    faults = faults == null ? List.of() : List.copyOf(faults);
  }

  /** Result of a change. */
  public enum Result {
    /** The change is persisted in the log and valid. */
    ACCEPTED,

    /** The change certainly did not take effect. */
    REFUSED,

    /** The change conflicted with a concurrent one and did not take effect. */
    CONFLICT,

    /** It is unknown whether the change has taken or will take effect. */
    UNKNOWN
  }

  /**
   * A change that conflicted with concurrent changes.
   *
   * @param basedOn version that the change was based on
   * @param inForce version in force
   * @param document document in force
   * @param yours fields that the rejected change would have changed
   * @param theirs fields that changed since the base version
   */
  public record ConflictMessage(
      long basedOn, long inForce, JsonNode document, List<Change> yours, List<Change> theirs) {
    /** Replaces absent lists by empty ones. */
    public ConflictMessage {
      yours = yours == null ? List.of() : List.copyOf(yours);
      theirs = theirs == null ? List.of() : List.copyOf(theirs);
    }
  }

  /** Returns the outcome of a change that is in force. */
  public static OutcomeMessage accepted(String id, long version) {
    return new OutcomeMessage(
        Result.ACCEPTED,
        Optional.of(id),
        Optional.of(version),
        List.of(),
        Optional.empty(),
        Optional.empty());
  }

  /** Returns the outcome of a change that did not take effect. */
  public static OutcomeMessage refused(List<FieldFault> faults) {
    return new OutcomeMessage(
        Result.REFUSED,
        Optional.empty(),
        Optional.empty(),
        faults,
        Optional.empty(),
        Optional.empty());
  }

  /** Returns the outcome of a change that was refused because of one field. */
  public static OutcomeMessage refused(String field, String reason) {
    return refused(List.of(new FieldFault(field, reason)));
  }

  /** Returns the outcome of a change whose effect is not known. */
  public static OutcomeMessage unknown(String id, String reason) {
    return new OutcomeMessage(
        Result.UNKNOWN,
        Optional.of(id),
        Optional.empty(),
        List.of(),
        Optional.of(reason),
        Optional.empty());
  }

  /** Returns the outcome of a change that conflicted with a concurrent one. */
  public static OutcomeMessage rejectedByConflict(ConflictMessage conflict) {
    return new OutcomeMessage(
        Result.CONFLICT,
        Optional.empty(),
        Optional.empty(),
        List.of(),
        Optional.empty(),
        Optional.of(conflict));
  }
}

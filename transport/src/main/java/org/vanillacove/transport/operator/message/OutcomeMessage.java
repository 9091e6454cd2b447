package org.vanillacove.transport.operator.message;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.vanillacove.protocol.configuration.ConfigurationText.Change;
import org.vanillacove.protocol.document.FieldFault;

/**
 * Outcome of a change; which parts are there depends on the result.
 *
 * @param result what became of the change
 * @param id identifier of the job, worker or proposal concerned
 * @param version log offset of the change, or configuration version
 * @param faults what is wrong, by field
 * @param reason what went wrong, where no field is at fault
 * @param conflict both sides of a lost race
 */
public record OutcomeMessage(
    Result result,
    Optional<String> id,
    Optional<Long> version,
    List<FieldFault> faults,
    Optional<String> reason,
    Optional<ConflictMessage> conflict) {
  /** Fills in what is left out. */
  public OutcomeMessage {
    faults = faults == null ? List.of() : List.copyOf(faults);
  }

  /** What became of a change. */
  public enum Result {
    /** It is in the log and valid. */
    ACCEPTED,

    /** It certainly did not take effect. */
    REFUSED,

    /** It lost a race and did not take effect. */
    CONFLICT,

    /** Whether it took or will take effect is not known. */
    UNKNOWN
  }

  /**
   * Both sides of a lost race.
   *
   * @param basedOn version that the change was based on
   * @param inForce version in force
   * @param document document in force
   * @param yours what the change wanted
   * @param theirs what happened since
   */
  public record ConflictMessage(
      long basedOn, long inForce, JsonNode document, List<Change> yours, List<Change> theirs) {
    /** Fills in what is left out. */
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

  /** Returns the outcome of a change that did not take effect for one reason. */
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

  /** Returns the outcome of a change that lost a race. */
  public static OutcomeMessage lost(ConflictMessage conflict) {
    return new OutcomeMessage(
        Result.CONFLICT,
        Optional.empty(),
        Optional.empty(),
        List.of(),
        Optional.empty(),
        Optional.of(conflict));
  }
}

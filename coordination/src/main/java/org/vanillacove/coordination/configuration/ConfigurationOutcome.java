package org.vanillacove.coordination.configuration;

import java.util.List;
import org.vanillacove.protocol.configuration.ConfigurationText.Change;
import org.vanillacove.protocol.document.FieldFault;

/** Outcome of a change of the configuration. */
public sealed interface ConfigurationOutcome {
  /**
   * The change is in the log and valid.
   *
   * @param version version of the new document
   */
  record Accepted(long version) implements ConfigurationOutcome {}

  /**
   * The change did not take effect, the last good document stays.
   *
   * @param faults what is wrong, by field
   */
  record Refused(List<FieldFault> faults) implements ConfigurationOutcome {
    /** Copies the faults. */
    public Refused {
      faults = List.copyOf(faults);
    }
  }

  /**
   * The change lost a race and did not take effect.
   *
   * @param basedOn version that the change was based on
   * @param inForce version in force
   * @param document document in force
   * @param yours what the change wanted against its base; against the document in force if the base
   *     is no longer kept
   * @param theirs what happened since the base, none if the base is no longer kept
   */
  record Conflict(
      long basedOn, long inForce, String document, List<Change> yours, List<Change> theirs)
      implements ConfigurationOutcome {
    /** Copies the lists. */
    public Conflict {
      yours = List.copyOf(yours);
      theirs = List.copyOf(theirs);
    }
  }

  /**
   * Whether the change took or will take effect is not known.
   *
   * @param proposalId identifier of the change in the log
   * @param reason what went wrong
   */
  record Unknown(String proposalId, String reason) implements ConfigurationOutcome {}
}

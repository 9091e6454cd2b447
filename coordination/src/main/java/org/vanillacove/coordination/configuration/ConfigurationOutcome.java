package org.vanillacove.coordination.configuration;

import java.util.List;
import org.vanillacove.protocol.configuration.ConfigurationText.Change;
import org.vanillacove.protocol.document.FieldFault;

/** Outcome of a requested change of the configuration. */
public sealed interface ConfigurationOutcome {
  /**
   * The change was written to the log and took effect.
   *
   * @param version version of the new document
   */
  record Accepted(long version) implements ConfigurationOutcome {}

  /**
   * The change did not take effect; the document in force stays.
   *
   * @param faults faults of the proposed document, one a field
   */
  record Refused(List<FieldFault> faults) implements ConfigurationOutcome {
    /** Copies the faults. */
    public Refused {
      faults = List.copyOf(faults);
    }
  }

  /**
   * The change did not take effect because another version came into force before it.
   *
   * @param basedOn version that the change was based on
   * @param inForce version in force
   * @param document document in force
   * @param yours changes that were requested, compared with the base; compared with the document in
   *     force if the base is no longer stored
   * @param theirs changes since the base, none if the base is no longer stored
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
   * Unknown outcome: the change may or may not have taken effect, or may yet do so.
   *
   * @param proposalId identifier of the change in the log
   * @param reason what went wrong
   */
  record Unknown(String proposalId, String reason) implements ConfigurationOutcome {}
}

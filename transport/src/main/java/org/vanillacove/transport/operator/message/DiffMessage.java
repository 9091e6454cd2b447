package org.vanillacove.transport.operator.message;

import java.util.List;
import org.vanillacove.protocol.configuration.ConfigurationText.Change;

/**
 * Differences between two configuration versions.
 *
 * @param changes fields that differ, with their values in both versions
 */
public record DiffMessage(List<Change> changes) {
  /** Makes an immutable copy of the differences. */
  public DiffMessage {
    changes = List.copyOf(changes);
  }
}

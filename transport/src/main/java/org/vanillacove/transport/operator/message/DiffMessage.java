package org.vanillacove.transport.operator.message;

import java.util.List;
import org.vanillacove.protocol.configuration.ConfigurationText.Change;

/**
 * Differences between two configuration versions.
 *
 * @param changes the differences, by field
 */
public record DiffMessage(List<Change> changes) {
  /** Copies the differences. */
  public DiffMessage {
    changes = List.copyOf(changes);
  }
}

package org.vanillacove.transport.operator.message;

import java.util.List;

/**
 * Configuration versions that the cell retains.
 *
 * @param versions the versions, oldest first
 */
public record HistoryMessage(List<VersionMessage> versions) {
  /** Makes an immutable copy of the versions. */
  public HistoryMessage {
    versions = List.copyOf(versions);
  }

  /**
   * A retained configuration version.
   *
   * @param version version number
   * @param author who made the change
   * @param reason why the change was made
   * @param changes number of fields that differ from the version before
   */
  public record VersionMessage(long version, String author, String reason, int changes) {}
}

package org.vanillacove.transport.operator.message;

import java.util.List;

/**
 * Configuration versions that are kept.
 *
 * @param versions the versions, oldest first
 */
public record HistoryMessage(List<VersionMessage> versions) {
  /** Copies the versions. */
  public HistoryMessage {
    versions = List.copyOf(versions);
  }

  /**
   * A version.
   *
   * @param version the version
   * @param author who made the change
   * @param reason why
   * @param changes number of fields that differ from the version before
   */
  public record VersionMessage(long version, String author, String reason, int changes) {}
}

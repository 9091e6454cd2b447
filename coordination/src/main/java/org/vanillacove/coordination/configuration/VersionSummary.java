package org.vanillacove.coordination.configuration;

import org.vanillacove.coordination.api.CellView.ConfigurationVersion;
import org.vanillacove.protocol.configuration.ConfigurationText;

/**
 * A stored configuration version without its document.
 *
 * @param version version, the log offset of its record
 * @param author who made the change
 * @param reason why the change was made
 * @param changes number of fields that it changed
 */
public record VersionSummary(long version, String author, String reason, int changes) {
  /** Returns the summary of a version that followed one with the document {@code before}. */
  static VersionSummary of(String before, ConfigurationVersion version) {
    return new VersionSummary(
        version.version(),
        version.author(),
        version.reason(),
        ConfigurationText.diff(before, version.document()).size());
  }
}

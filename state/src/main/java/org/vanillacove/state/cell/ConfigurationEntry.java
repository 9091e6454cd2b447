package org.vanillacove.state.cell;

/**
 * One version of the configuration.
 *
 * @param version version number, the log offset of its record; zero means no configuration
 * @param document the document as JSON
 * @param author operator who made the change
 * @param reason why the change was made
 */
public record ConfigurationEntry(long version, String document, String author, String reason) {
  /** Entry in force before the first configuration change. */
  public static final ConfigurationEntry NONE = new ConfigurationEntry(0, "", "", "");
}

package org.vanillacove.state.cell;

/**
 * One configuration version.
 *
 * @param version version, the log offset of its record, which is never zero
 * @param document the document as JSON
 * @param author who made the change
 * @param reason why
 */
public record ConfigurationEntry(long version, String document, String author, String reason) {
  /** What is in force before the first change. */
  public static final ConfigurationEntry NONE = new ConfigurationEntry(0, "", "", "");
}

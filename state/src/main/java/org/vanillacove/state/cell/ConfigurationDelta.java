package org.vanillacove.state.cell;

/**
 * A kept configuration version whose document is told from that of the next newer version: the two
 * begin and end alike. The newest version shares nothing and so holds its document whole.
 *
 * @param version version, the log offset of its record
 * @param author who made the change
 * @param reason why
 * @param prefix characters that both documents begin with
 * @param suffix characters that both documents end with
 * @param text what stands between them in the document of this version
 */
public record ConfigurationDelta(
    long version, String author, String reason, int prefix, int suffix, String text) {
  /** Checks the lengths. */
  public ConfigurationDelta {
    if (prefix < 0 || suffix < 0) {
      throw new IllegalArgumentException("version " + version + ": a length is negative");
    }
  }

  /** Returns a version with its whole document. */
  static ConfigurationDelta ofFullDocument(ConfigurationEntry entry) {
    return new ConfigurationDelta(
        entry.version(), entry.author(), entry.reason(), 0, 0, entry.document());
  }

  /** Returns a version as a difference to the document of the next newer one. */
  static ConfigurationDelta between(ConfigurationEntry entry, String newer) {
    String document = entry.document();
    int shorter = Math.min(document.length(), newer.length());
    int prefix = 0;
    while (prefix < shorter && document.charAt(prefix) == newer.charAt(prefix)) {
      prefix++;
    }
    // A difference that begins or ends within a surrogate pair could not be written as UTF-8.
    if (prefix > 0 && Character.isHighSurrogate(document.charAt(prefix - 1))) {
      prefix--;
    }
    int suffix = 0;
    while (suffix < shorter - prefix
        && document.charAt(document.length() - suffix - 1)
            == newer.charAt(newer.length() - suffix - 1)) {
      suffix++;
    }
    if (suffix > 0 && Character.isLowSurrogate(document.charAt(document.length() - suffix))) {
      suffix--;
    }
    return new ConfigurationDelta(
        entry.version(),
        entry.author(),
        entry.reason(),
        prefix,
        suffix,
        document.substring(prefix, document.length() - suffix));
  }

  /** Returns the version with its document, from the document of the next newer one. */
  ConfigurationEntry reconstruct(String newer) {
    if (prefix > newer.length() - suffix) {
      throw new IllegalArgumentException("version " + version + " does not fit the next one");
    }
    String document = newer.substring(0, prefix) + text + newer.substring(newer.length() - suffix);
    return new ConfigurationEntry(version, document, author, reason);
  }

  /** Returns the number of characters held. */
  int characters() {
    return text.length() + author.length() + reason.length();
  }
}

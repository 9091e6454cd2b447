package org.vanillacove.state.cell;

/**
 * A retained configuration version, stored as the difference of its document from that of the next
 * newer version: the length of the common prefix, the length of the common suffix and the text
 * between them. The newest version has no common parts and holds its full document.
 *
 * @param version version number, the log offset of its record
 * @param author operator who made the change
 * @param reason why the change was made
 * @param prefix number of characters in the common prefix
 * @param suffix number of characters in the common suffix
 * @param text text between prefix and suffix in the document of this version
 */
public record ConfigurationDelta(
    long version, String author, String reason, int prefix, int suffix, String text) {
  /** Rejects negative lengths. */
  public ConfigurationDelta {
    if (prefix < 0 || suffix < 0) {
      throw new IllegalArgumentException(
          "version " + version + ": prefix or suffix length is negative");
    }
  }

  /** Returns a version that holds its full document. */
  static ConfigurationDelta ofFullDocument(ConfigurationEntry entry) {
    return new ConfigurationDelta(
        entry.version(), entry.author(), entry.reason(), 0, 0, entry.document());
  }

  /** Returns a version as the difference from the document of the next newer one. */
  static ConfigurationDelta between(ConfigurationEntry entry, String newer) {
    String document = entry.document();
    int shorter = Math.min(document.length(), newer.length());
    int prefix = 0;
    while (prefix < shorter && document.charAt(prefix) == newer.charAt(prefix)) {
      prefix++;
    }
    // A text that begins or ends within a surrogate pair could not be encoded as UTF-8.
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

  /** Reconstructs the version with its document from the document of the next newer one. */
  ConfigurationEntry reconstruct(String newer) {
    if (prefix > newer.length() - suffix) {
      throw new IllegalArgumentException(
          "version " + version + ": prefix and suffix exceed the document of the next version");
    }
    String document = newer.substring(0, prefix) + text + newer.substring(newer.length() - suffix);
    return new ConfigurationEntry(version, document, author, reason);
  }

  /** Returns the number of characters stored for this version. */
  int characters() {
    return text.length() + author.length() + reason.length();
  }
}

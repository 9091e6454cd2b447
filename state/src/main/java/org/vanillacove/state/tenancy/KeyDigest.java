package org.vanillacove.state.tenancy;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/** Digest of an API key. The key itself is not kept, so that it appears in no log line or dump. */
public final class KeyDigest {
  /** SHA-256 of the key. */
  private final byte[] digest;

  private KeyDigest(byte[] digest) {
    this.digest = digest;
  }

  /** Returns the digest of a key. */
  public static KeyDigest of(String key) {
    try {
      byte[] bytes = key.getBytes(StandardCharsets.UTF_8);
      return new KeyDigest(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /** Compares in a time that does not depend on the content. */
  @Override
  public boolean equals(Object other) {
    return other instanceof KeyDigest that && MessageDigest.isEqual(digest, that.digest);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(digest);
  }

  @Override
  public String toString() {
    return "KeyDigest";
  }
}

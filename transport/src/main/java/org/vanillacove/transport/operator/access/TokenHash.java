package org.vanillacove.transport.operator.access;

import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Optional;
import org.bouncycastle.crypto.generators.SCrypt;
import org.vanillacove.protocol.settings.DaemonSettings.TokenSettings;
import org.vanillacove.protocol.settings.OperatorRole;

/** Generates tokens and verifies them against their salted hashes. */
public final class TokenHash {
  /** SCrypt cost parameter; low, since secrets are long and random. */
  private static final int COST = 1 << 10;

  /** SCrypt block size. */
  private static final int BLOCK_SIZE = 8;

  /** SCrypt parallelization. */
  private static final int PARALLELIZATION = 1;

  /** Length of a hash in bytes. */
  private static final int HASH_BYTES = 32;

  /** Length of a salt in bytes. */
  private static final int SALT_BYTES = 16;

  /** Length of a secret in bytes. */
  private static final int SECRET_BYTES = 32;

  /** Lower-case hexadecimal digits. */
  private static final BaseEncoding HEX = BaseEncoding.base16().lowerCase();

  private TokenHash() {}

  /**
   * A newly generated token.
   *
   * @param token the token that the operator keeps, as {@code NAME:SECRET}
   * @param settings the entry for the settings of the daemons, without the secret
   */
  public record NewToken(String token, TokenSettings settings) {
    @Override
    public String toString() {
      return settings.toString();
    }
  }

  /** Generates a token with a random secret. */
  public static NewToken create(
      String name, OperatorRole role, Optional<String> team, SecureRandom random) {
    byte[] secret = new byte[SECRET_BYTES];
    byte[] salt = new byte[SALT_BYTES];
    random.nextBytes(secret);
    random.nextBytes(salt);
    String text = HEX.encode(secret);
    return new NewToken(
        name + ":" + text,
        new TokenSettings(name, role, team, HEX.encode(salt), HEX.encode(hash(text, salt))));
  }

  /** Returns whether {@code secret} matches the hash in {@code settings}, in constant time. */
  public static boolean matches(String secret, TokenSettings settings) {
    byte[] expected = HEX.decode(settings.hash());
    return MessageDigest.isEqual(expected, hash(secret, HEX.decode(settings.salt())));
  }

  private static byte[] hash(String secret, byte[] salt) {
    return SCrypt.generate(
        secret.getBytes(StandardCharsets.UTF_8),
        salt,
        COST,
        BLOCK_SIZE,
        PARALLELIZATION,
        HASH_BYTES);
  }
}

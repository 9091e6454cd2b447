package org.vanillacove.transport.operator.access;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.flogger.FluentLogger;
import com.google.common.hash.HashCode;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.stream.Collectors;
import org.vanillacove.protocol.settings.DaemonSettings.TokenSettings;
import org.vanillacove.protocol.settings.OperatorRole;
import org.vanillacove.protocol.timer.TimerService;

/** Authenticates requests by their bearer token. Thread-safe. */
public final class TokenAuthority {
  /** Maximum number of verified tokens to cache. */
  private static final int MAX_VERIFIED_TOKENS = 1_000;

  /** Time for which a verified token is accepted without computing its hash again. */
  private static final Duration VERIFIED_TOKEN_TTL = Duration.ofMinutes(10);

  /** Length of the HMAC key for cached tokens, in bytes. */
  private static final int KEY_BYTES = 32;

  /** Prefix of the value of the authorization header. */
  private static final String SCHEME = "Bearer ";

  /** Logs failed logins and missing access control. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Token settings by name; if empty, access is not restricted. */
  private final Map<String, TokenSettings> tokens;

  /** Checked in place of unknown names, so that response times do not reveal valid names. */
  private final TokenSettings decoy;

  /** Limits failed logins by address. */
  private final FailedLoginLimit limit;

  /** HMAC under a random key of this process, so that the cache holds no plain tokens. */
  private final HashFunction digest;

  /** Principals of recently verified tokens, by the HMAC of the token. */
  private final Cache<HashCode, Principal> verifiedTokens =
      CacheBuilder.newBuilder()
          .maximumSize(MAX_VERIFIED_TOKENS)
          .expireAfterWrite(VERIFIED_TOKEN_TTL)
          .build();

  /** Serializes hash computations, which bounds CPU and memory usage. */
  private final ReentrantLock hashLock = new ReentrantLock();

  /** Creates an authority that accepts the configured tokens. */
  public TokenAuthority(List<TokenSettings> settings, TimerService timer, SecureRandom random) {
    this.tokens =
        settings.stream().collect(Collectors.toUnmodifiableMap(TokenSettings::name, t -> t));
    this.limit = new FailedLoginLimit(timer);
    this.decoy =
        TokenHash.create("decoy", OperatorRole.VIEWER, Optional.empty(), random).settings();
    byte[] key = new byte[KEY_BYTES];
    random.nextBytes(key);
    this.digest = Hashing.hmacSha256(key);
    if (tokens.isEmpty()) {
      LOGGER.atWarning().log("access: no tokens are configured, all requests are permitted");
    }
  }

  /** Result of authenticating a request. */
  public sealed interface Login {
    /**
     * The token is valid.
     *
     * @param principal owner of the token
     */
    record Passed(Principal principal) implements Login {}

    /** The token is missing or invalid. */
    record Failed() implements Login {}

    /** The address is blocked after too many failed logins; the token was not checked. */
    record Blocked() implements Login {}
  }

  /** Authenticates the value of an authorization header that was sent from {@code address}. */
  public Login login(Optional<String> authorization, String address) {
    if (tokens.isEmpty()) {
      return new Login.Passed(Principal.ANONYMOUS);
    }
    if (authorization.isEmpty() || !authorization.get().startsWith(SCHEME)) {
      return new Login.Failed();
    }
    String token = authorization.get().substring(SCHEME.length()).strip();
    HashCode key = digest.hashString(token, StandardCharsets.UTF_8);
    Principal known = verifiedTokens.getIfPresent(key);
    if (known != null) {
      return new Login.Passed(known);
    }
    return limit.isBlocked(address) ? new Login.Blocked() : verify(token, key, address);
  }

  private Login verify(String token, HashCode key, String address) {
    int colon = token.indexOf(':');
    String name = colon < 0 ? "" : token.substring(0, colon);
    TokenSettings settings = tokens.getOrDefault(name, decoy);
    boolean matches;
    hashLock.lock();
    try {
      matches = TokenHash.matches(token.substring(colon + 1), settings);
    } finally {
      hashLock.unlock();
    }
    if (!matches || settings.equals(decoy)) {
      limit.recordFailure(address);
      LOGGER.atWarning().log("access: failed login from %s", address);
      return new Login.Failed();
    }
    Principal principal = new Principal(name, settings.role(), settings.team());
    verifiedTokens.put(key, principal);
    return new Login.Passed(principal);
  }
}

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

/** Finds out who makes a request from its token; thread-safe. */
public final class TokenAuthority {
  /** Tokens that passed lately and need no new hash. */
  private static final int MAX_REMEMBERED = 1_000;

  /** How long a token that passed needs no new hash. */
  private static final Duration REMEMBERED = Duration.ofMinutes(10);

  /** Length of the key that remembered tokens are digested with, in bytes. */
  private static final int KEY_BYTES = 32;

  /** Prefix of the authorization header. */
  private static final String SCHEME = "Bearer ";

  /** Logs. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Tokens by name, none for open access. */
  private final Map<String, TokenSettings> tokens;

  /** Stands in for unknown names so that they take as long as known ones. */
  private final TokenSettings decoy;

  /** Bounds failed logins. */
  private final FailedLoginLimit limit;

  /** Digests remembered tokens under a key of this process. */
  private final HashFunction digest;

  /** Principals of tokens that passed lately, by digest. */
  private final Cache<HashCode, Principal> remembered =
      CacheBuilder.newBuilder().maximumSize(MAX_REMEMBERED).expireAfterWrite(REMEMBERED).build();

  /** Lets one hash be computed at a time, which bounds processor time and memory. */
  private final ReentrantLock hashing = new ReentrantLock();

  /** Creates an authority for the tokens of the settings. */
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
      LOGGER.atWarning().log("access: no tokens are set up, everybody may do everything");
    }
  }

  /** Outcome of a login. */
  public sealed interface Login {
    /**
     * The token is known.
     *
     * @param principal who it belongs to
     */
    record Passed(Principal principal) implements Login {}

    /** There is no token, or it is wrong. */
    record Failed() implements Login {}

    /** Too many logins failed from the address, the token was not looked at. */
    record Blocked() implements Login {}
  }

  /** Returns who sends {@code authorization}, the header's value, from {@code address}. */
  public Login login(Optional<String> authorization, String address) {
    if (tokens.isEmpty()) {
      return new Login.Passed(Principal.ANONYMOUS);
    }
    if (authorization.isEmpty() || !authorization.get().startsWith(SCHEME)) {
      return new Login.Failed();
    }
    String token = authorization.get().substring(SCHEME.length()).strip();
    HashCode key = digest.hashString(token, StandardCharsets.UTF_8);
    Principal known = remembered.getIfPresent(key);
    if (known != null) {
      return new Login.Passed(known);
    }
    return limit.isBlocked(address) ? new Login.Blocked() : check(token, key, address);
  }

  private Login check(String token, HashCode key, String address) {
    int colon = token.indexOf(':');
    String name = colon < 0 ? "" : token.substring(0, colon);
    TokenSettings settings = tokens.getOrDefault(name, decoy);
    boolean matches;
    hashing.lock();
    try {
      matches = TokenHash.matches(token.substring(colon + 1), settings);
    } finally {
      hashing.unlock();
    }
    if (!matches || settings.equals(decoy)) {
      limit.failed(address);
      LOGGER.atWarning().log("access: a login from %s failed", address);
      return new Login.Failed();
    }
    Principal principal = new Principal(name, settings.role(), settings.team());
    remembered.put(key, principal);
    return new Login.Passed(principal);
  }
}

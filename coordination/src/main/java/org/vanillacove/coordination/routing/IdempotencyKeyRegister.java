package org.vanillacove.coordination.routing;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.coordination.api.Membership;
import org.vanillacove.protocol.generated.KeyMessage;
import org.vanillacove.protocol.generated.KeyReply;
import org.vanillacove.protocol.generated.KeyState;
import org.vanillacove.protocol.peer.PeerChannel;
import org.vanillacove.protocol.peer.PeerLink;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.HostSpec;

/**
 * Records idempotency keys so that a request runs at most once per key; thread-safe. The first host
 * for a key in rendezvous order, its owner, decides; the second keeps a copy that answers after the
 * owner failed. If both lost the record, a repeated attempt is undecided and never runs.
 */
public final class IdempotencyKeyRegister {
  /** Maximum wait for the reply of a replica of a key. */
  private static final Duration CALL_DEADLINE = Duration.ofMillis(500);

  /** Time after its last update at which the record of a key expires. */
  private static final Duration KEY_TTL = Duration.ofMinutes(30);

  /** Maximum number of records kept by a host. */
  private static final long MAX_KEYS = 200_000;

  /** Logger. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Membership whose agreed hosts keep the keys. */
  private final Membership membership;

  /** Sends messages to peers and receives those about keys. */
  private final PeerLink link;

  /** Newest state of each key of which this host is the owner or the second replica. */
  private final Cache<String, KeyReply> records;

  /** Creates an empty register and handles messages of peers about keys. */
  public IdempotencyKeyRegister(Membership membership, PeerLink link, TimerService timer) {
    this.membership = membership;
    this.link = link;
    this.records =
        CacheBuilder.newBuilder()
            .maximumSize(MAX_KEYS)
            .expireAfterWrite(KEY_TTL)
            .ticker(new MillisTicker(timer))
            .build();
    link.register(PeerChannel.REQUEST_KEY, (from, payload) -> handle(payload));
  }

  /** Outcome of an attempt to run a request with a key. */
  public enum KeyOutcome {
    /** The request ran. */
    RUN(KeyState.KEY_RUN),
    /** The request did not run; the key may be used again. */
    NOT_RUN(KeyState.KEY_ABSENT),
    /** The request may have run. */
    UNKNOWN(KeyState.KEY_UNKNOWN);

    /** Key state that represents this outcome in messages. */
    private final KeyState state;

    KeyOutcome(KeyState state) {
      this.state = state;
    }
  }

  /**
   * Decides whether a request may run, and if so records it as running. Unless it may run, any
   * record of this attempt is withdrawn.
   */
  public CompletableFuture<KeyDecision> begin(String key, String attemptId, boolean repeated) {
    KeyMessage message =
        KeyMessage.newBuilder()
            .setKey(key)
            .setAttemptId(attemptId)
            .setState(KeyState.KEY_RUNNING)
            .setRepeated(repeated)
            .build();
    List<HostSpec> keepers = replicas(key);
    if (keepers.isEmpty()) {
      return CompletableFuture.completedFuture(new KeyDecision.Unavailable("no host keeps keys"));
    }
    return query(keepers.getFirst(), message)
        .thenCompose(owner -> querySecondReplica(keepers, owner, message))
        .thenApply(verdict -> withdrawUnlessFirst(verdict, key, attemptId));
  }

  /** Records the outcome of an attempt on all replicas of its key. */
  public void end(String key, String attemptId, KeyOutcome end) {
    KeyMessage message =
        KeyMessage.newBuilder().setKey(key).setAttemptId(attemptId).setState(end.state).build();
    replicas(key).forEach(host -> query(host, message));
  }

  private List<HostSpec> replicas(String key) {
    List<HostSpec> order = RendezvousHashing.rank(key, membership.agreedHosts());
    return order.subList(0, Math.min(2, order.size()));
  }

  private CompletableFuture<Optional<KeyReply>> query(HostSpec host, KeyMessage message) {
    if (host.id().equals(membership.self().id())) {
      return CompletableFuture.completedFuture(Optional.of(apply(message)));
    }
    return link.call(host.id(), PeerChannel.REQUEST_KEY, message.toByteString(), CALL_DEADLINE)
        .thenApply(reply -> reply.flatMap(IdempotencyKeyRegister::parse));
  }

  private CompletableFuture<KeyDecision> querySecondReplica(
      List<HostSpec> keepers, Optional<KeyReply> owner, KeyMessage message) {
    boolean decided = owner.isPresent() && !hasState(owner, KeyState.KEY_ABSENT);
    if (decided || keepers.size() < 2) {
      return CompletableFuture.completedFuture(
          decide(owner, Optional.empty(), message.getRepeated()));
    }
    return query(keepers.get(1), message)
        .thenApply(copy -> decide(owner, copy, message.getRepeated()));
  }

  private static KeyDecision decide(
      Optional<KeyReply> owner, Optional<KeyReply> copy, boolean repeated) {
    if (hasState(owner, KeyState.KEY_RUN) || hasState(copy, KeyState.KEY_RUN)) {
      return new KeyDecision.AlreadyRun();
    }
    if (hasState(owner, KeyState.KEY_RUNNING) || hasState(copy, KeyState.KEY_RUNNING)) {
      return new KeyDecision.Undecided("a request with this key is running");
    }
    if (hasState(owner, KeyState.KEY_UNKNOWN) || hasState(copy, KeyState.KEY_UNKNOWN)) {
      return new KeyDecision.Undecided("a request with this key may have run");
    }
    if (repeated) {
      return new KeyDecision.Undecided("the first attempt is not on record");
    }
    return owner.isPresent()
        ? new KeyDecision.First()
        : new KeyDecision.Unavailable("the owner of the key cannot be reached");
  }

  /** Withdraws the records of an attempt that must not run. */
  private KeyDecision withdrawUnlessFirst(KeyDecision verdict, String key, String attemptId) {
    if (!(verdict instanceof KeyDecision.First)) {
      end(key, attemptId, KeyOutcome.NOT_RUN);
    }
    return verdict;
  }

  private static boolean hasState(Optional<KeyReply> reply, KeyState state) {
    return reply.map(KeyReply::getBefore).filter(state::equals).isPresent();
  }

  private synchronized KeyReply apply(KeyMessage message) {
    KeyReply present = records.getIfPresent(message.getKey());
    KeyReply before = present == null ? KeyReply.getDefaultInstance() : present;
    boolean sameAttempt = before.getAttemptId().equals(message.getAttemptId());
    if (message.getState() == KeyState.KEY_RUNNING) {
      if (present == null && !message.getRepeated()) {
        put(message);
      }
      return sameAttempt ? KeyReply.getDefaultInstance() : before;
    }
    if (sameAttempt && message.getState() == KeyState.KEY_ABSENT) {
      records.invalidate(message.getKey());
    } else if (message.getState() != KeyState.KEY_ABSENT && (sameAttempt || present == null)) {
      put(message);
    }
    return before;
  }

  private void put(KeyMessage message) {
    records.put(
        message.getKey(),
        KeyReply.newBuilder()
            .setBefore(message.getState())
            .setAttemptId(message.getAttemptId())
            .build());
  }

  private CompletableFuture<Optional<ByteString>> handle(ByteString payload) {
    try {
      KeyReply reply = apply(KeyMessage.parseFrom(payload));
      return CompletableFuture.completedFuture(Optional.of(reply.toByteString()));
    } catch (InvalidProtocolBufferException e) {
      LOGGER.atWarning().withCause(e).log("routing: malformed message about an idempotency key.");
      return CompletableFuture.completedFuture(Optional.empty());
    }
  }

  private static Optional<KeyReply> parse(ByteString payload) {
    try {
      return Optional.of(KeyReply.parseFrom(payload));
    } catch (InvalidProtocolBufferException e) {
      LOGGER.atWarning().withCause(e).log("routing: malformed reply about an idempotency key.");
      return Optional.empty();
    }
  }
}

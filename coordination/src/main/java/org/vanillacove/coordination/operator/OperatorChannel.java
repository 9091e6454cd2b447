package org.vanillacove.coordination.operator;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.Parser;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.vanillacove.coordination.api.Membership;
import org.vanillacove.protocol.generated.OperatorQuery;
import org.vanillacove.protocol.generated.TimelineQuery;
import org.vanillacove.protocol.generated.TimelineReply;
import org.vanillacove.protocol.generated.VersionReply;
import org.vanillacove.protocol.peer.PeerChannel;
import org.vanillacove.protocol.peer.PeerLink;
import org.vanillacove.state.api.HostSpec;

/** Sends queries to the other entry hosts and answers theirs; thread-safe. */
public final class OperatorChannel {
  /** Maximum wait for the reply of a host. */
  private static final Duration REPLY_TIMEOUT = Duration.ofMillis(1_500);

  /** Log of queries and replies that can't be processed. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Sends queries to the other hosts and receives theirs. */
  private final PeerLink link;

  /** Agreed membership: the hosts that are queried. */
  private final Membership membership;

  /** Answers timeline queries; returns no events until one is set. */
  private volatile Function<TimelineQuery, TimelineReply> timelineHandler =
      query -> TimelineReply.getDefaultInstance();

  /** Returns the configuration version in force on this host; zero until one is set. */
  private volatile LongSupplier versionSupplier = () -> 0;

  /** Creates the channel and registers its handler on {@code link}. */
  public OperatorChannel(PeerLink link, Membership membership) {
    this.link = link;
    this.membership = membership;
    link.register(
        PeerChannel.OPERATOR,
        (from, payload) -> CompletableFuture.completedFuture(handleQuery(from, payload)));
  }

  /**
   * The reply of one host.
   *
   * @param hostId host that was queried
   * @param payload encoded reply, empty if none arrived in time
   */
  public record HostReply(String hostId, Optional<ByteString> payload) {
    /** Returns the decoded reply, empty if none arrived or it can't be decoded. */
    public <M extends Message> Optional<M> parse(Parser<M> parser) {
      return payload.flatMap(bytes -> tryParse(parser, bytes));
    }
  }

  /** Sets the handler of queries for the timeline events of this host. */
  public void setTimelineHandler(Function<TimelineQuery, TimelineReply> handler) {
    timelineHandler = handler;
  }

  /** Sets the source of the configuration version in force on this host. */
  public void setVersionSupplier(LongSupplier supplier) {
    versionSupplier = supplier;
  }

  /** Queries every other member; the replies are in the order of the membership. */
  public CompletableFuture<List<HostReply>> queryAll(OperatorQuery query) {
    ByteString payload = query.toByteString();
    List<CompletableFuture<HostReply>> replies =
        membership.agreedHosts().stream()
            .map(HostSpec::id)
            .filter(hostId -> !hostId.equals(membership.self().id()))
            .map(hostId -> queryHost(hostId, payload))
            .toList();
    return CompletableFuture.allOf(replies.toArray(CompletableFuture<?>[]::new))
        .thenApply(done -> replies.stream().map(CompletableFuture::join).toList());
  }

  private CompletableFuture<HostReply> queryHost(String hostId, ByteString payload) {
    return link.call(hostId, PeerChannel.OPERATOR, payload, REPLY_TIMEOUT)
        .exceptionally(error -> Optional.empty())
        .thenApply(reply -> new HostReply(hostId, reply));
  }

  private Optional<ByteString> handleQuery(String from, ByteString payload) {
    return tryParse(OperatorQuery.parser(), payload)
        .flatMap(
            query ->
                switch (query.getQueryCase()) {
                  case TIMELINE ->
                      Optional.of(timelineHandler.apply(query.getTimeline()).toByteString());
                  case VERSION ->
                      Optional.of(
                          VersionReply.newBuilder()
                              .setVersion(versionSupplier.getAsLong())
                              .build()
                              .toByteString());
                  case QUERY_NOT_SET -> {
                    LOGGER.atWarning().log("operator: query of unknown type from host %s", from);
                    yield Optional.empty();
                  }
                });
  }

  private static <M extends Message> Optional<M> tryParse(Parser<M> parser, ByteString bytes) {
    try {
      return Optional.of(parser.parseFrom(bytes));
    } catch (InvalidProtocolBufferException e) {
      LOGGER.atWarning().withCause(e).log("operator: message cannot be decoded");
      return Optional.empty();
    }
  }
}

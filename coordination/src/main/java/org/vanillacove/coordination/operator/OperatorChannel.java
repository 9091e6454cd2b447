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

/** Asks the other entry hosts on the operators' channel and answers them; thread-safe. */
public final class OperatorChannel {
  /** Longest wait for an answer. */
  private static final Duration ANSWER_DEADLINE = Duration.ofMillis(1_500);

  /** Logs. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Link to the other hosts. */
  private final PeerLink link;

  /** Says which hosts there are. */
  private final Membership membership;

  /** Answers questions about the time line. */
  private volatile Function<TimelineQuery, TimelineReply> timeline =
      query -> TimelineReply.getDefaultInstance();

  /** Answers questions about the configuration version in force. */
  private volatile LongSupplier version = () -> 0;

  /** Creates the channel and registers its handler on {@code link}. */
  public OperatorChannel(PeerLink link, Membership membership) {
    this.link = link;
    this.membership = membership;
    link.register(
        PeerChannel.OPERATOR,
        (from, payload) -> CompletableFuture.completedFuture(answer(from, payload)));
  }

  /**
   * The answer of one host.
   *
   * @param hostId host that was asked
   * @param payload its answer, empty if none came in time
   */
  public record Answer(String hostId, Optional<ByteString> payload) {
    /** Returns the message, empty if none came or it cannot be read. */
    public <M extends Message> Optional<M> parse(Parser<M> parser) {
      return payload.flatMap(bytes -> parsed(parser, bytes));
    }
  }

  /** Sets what answers questions about the time line of this host. */
  public void answerTimeline(Function<TimelineQuery, TimelineReply> answer) {
    timeline = answer;
  }

  /** Sets what answers questions about the configuration version in force on this host. */
  public void answerVersion(LongSupplier answer) {
    version = answer;
  }

  /** Asks every agreed entry host but this one; answers come in the order of the hosts. */
  public CompletableFuture<List<Answer>> askAll(OperatorQuery query) {
    ByteString payload = query.toByteString();
    List<CompletableFuture<Answer>> answers =
        membership.agreedHosts().stream()
            .map(HostSpec::id)
            .filter(hostId -> !hostId.equals(membership.self().id()))
            .map(hostId -> ask(hostId, payload))
            .toList();
    return CompletableFuture.allOf(answers.toArray(CompletableFuture<?>[]::new))
        .thenApply(done -> answers.stream().map(CompletableFuture::join).toList());
  }

  private CompletableFuture<Answer> ask(String hostId, ByteString payload) {
    return link.call(hostId, PeerChannel.OPERATOR, payload, ANSWER_DEADLINE)
        .exceptionally(error -> Optional.empty())
        .thenApply(reply -> new Answer(hostId, reply));
  }

  private Optional<ByteString> answer(String from, ByteString payload) {
    return parsed(OperatorQuery.parser(), payload)
        .flatMap(
            query ->
                switch (query.getQueryCase()) {
                  case TIMELINE -> Optional.of(timeline.apply(query.getTimeline()).toByteString());
                  case VERSION ->
                      Optional.of(
                          VersionReply.newBuilder()
                              .setVersion(version.getAsLong())
                              .build()
                              .toByteString());
                  case QUERY_NOT_SET -> {
                    LOGGER.atWarning().log("operator: unknown question from host %s", from);
                    yield Optional.empty();
                  }
                });
  }

  private static <M extends Message> Optional<M> parsed(Parser<M> parser, ByteString bytes) {
    try {
      return Optional.of(parser.parseFrom(bytes));
    } catch (InvalidProtocolBufferException e) {
      LOGGER.atWarning().withCause(e).log("operator: unreadable message");
      return Optional.empty();
    }
  }
}

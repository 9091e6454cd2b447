package org.vanillacove.transport.peer;

import com.google.common.collect.ImmutableBiMap;
import com.google.protobuf.ByteString;
import java.util.Optional;
import org.vanillacove.protocol.generated.PeerFrame;
import org.vanillacove.protocol.generated.PeerFrameKind;
import org.vanillacove.protocol.generated.PeerHello;
import org.vanillacove.protocol.peer.PeerChannel;

/** Creates frames of each kind and checks received hello frames. */
final class PeerFrames {
  /** Oldest supported protocol version. */
  static final int MINIMUM_VERSION = 1;

  /** Newest supported protocol version. */
  static final int MAXIMUM_VERSION = 1;

  /** Channel numbers in frames; a number must never be reused for another channel. */
  private static final ImmutableBiMap<PeerChannel, Integer> CHANNEL_NUMBERS =
      ImmutableBiMap.<PeerChannel, Integer>builder()
          .put(PeerChannel.MEMBERSHIP, 1)
          .put(PeerChannel.SESSION, 2)
          .put(PeerChannel.COMMAND, 3)
          .put(PeerChannel.PROPOSAL, 4)
          .put(PeerChannel.SLOT, 5)
          .put(PeerChannel.REQUEST_KEY, 6)
          .put(PeerChannel.OPERATOR, 7)
          .buildOrThrow();

  private PeerFrames() {}

  /** Returns a hello; {@code expectedHostId} is empty in the server's response. */
  static PeerFrame hello(String hostId, String expectedHostId) {
    return PeerFrame.newBuilder()
        .setKind(PeerFrameKind.PEER_FRAME_HELLO)
        .setHello(
            PeerHello.newBuilder()
                .setHostId(hostId)
                .setMinimumVersion(MINIMUM_VERSION)
                .setMaximumVersion(MAXIMUM_VERSION)
                .setExpectedHostId(expectedHostId))
        .build();
  }

  /** Returns why {@code hostId} must reject a hello, empty if the hello is acceptable. */
  static Optional<String> helloRejectionReason(PeerFrame frame, String hostId) {
    PeerHello hello = frame.getHello();
    if (frame.getKind() != PeerFrameKind.PEER_FRAME_HELLO || hello.getHostId().isEmpty()) {
      return Optional.of("the first frame is no hello");
    }
    if (hello.getMaximumVersion() < MINIMUM_VERSION
        || hello.getMinimumVersion() > MAXIMUM_VERSION) {
      return Optional.of(
          "versions "
              + hello.getMinimumVersion()
              + " to "
              + hello.getMaximumVersion()
              + " do not meet versions "
              + MINIMUM_VERSION
              + " to "
              + MAXIMUM_VERSION);
    }
    if (!hello.getExpectedHostId().isEmpty() && !hello.getExpectedHostId().equals(hostId)) {
      return Optional.of("meant for " + hello.getExpectedHostId() + ", this is " + hostId);
    }
    return Optional.empty();
  }

  /** Returns the response to a hello that is rejected. */
  static PeerFrame rejection(String reason) {
    return PeerFrame.newBuilder()
        .setKind(PeerFrameKind.PEER_FRAME_REJECTION)
        .setReason(reason)
        .build();
  }

  /** Returns a frame without payload; {@code requestId} is zero if it belongs to no request. */
  static PeerFrame control(PeerFrameKind kind, long requestId) {
    return PeerFrame.newBuilder().setKind(kind).setRequestId(requestId).build();
  }

  /** Returns a message that expects no reply. */
  static PeerFrame message(PeerChannel channel, ByteString payload) {
    return PeerFrame.newBuilder()
        .setKind(PeerFrameKind.PEER_FRAME_MESSAGE)
        .setChannel(numberOf(channel))
        .setPayload(payload)
        .build();
  }

  /** Returns a request that expects a reply within {@code deadlineMillis}. */
  static PeerFrame request(PeerChannel channel, long id, ByteString payload, int deadlineMillis) {
    return PeerFrame.newBuilder()
        .setKind(PeerFrameKind.PEER_FRAME_REQUEST)
        .setChannel(numberOf(channel))
        .setRequestId(id)
        .setPayload(payload)
        .setDeadlineMillis(deadlineMillis)
        .build();
  }

  /** Returns the reply to a request. */
  static PeerFrame reply(long requestId, ByteString payload) {
    return PeerFrame.newBuilder()
        .setKind(PeerFrameKind.PEER_FRAME_REPLY)
        .setRequestId(requestId)
        .setPayload(payload)
        .build();
  }

  /** Returns the channel of a frame, empty if its number is unknown to this version. */
  static Optional<PeerChannel> channelOf(PeerFrame frame) {
    return Optional.ofNullable(CHANNEL_NUMBERS.inverse().get(frame.getChannel()));
  }

  private static int numberOf(PeerChannel channel) {
    return Optional.ofNullable(CHANNEL_NUMBERS.get(channel)).orElseThrow();
  }
}

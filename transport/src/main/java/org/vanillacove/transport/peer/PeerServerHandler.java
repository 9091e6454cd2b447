package org.vanillacove.transport.peer;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.vanillacove.protocol.generated.PeerFrame;
import org.vanillacove.protocol.generated.PeerFrameKind;
import org.vanillacove.protocol.peer.PeerChannel;

/** The accepting end of a connection: answers the hello and probes, hands on messages. */
final class PeerServerHandler extends SimpleChannelInboundHandler<PeerFrame> {
  /** Log of connections. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Shortest time between two log lines of the same kind, in seconds. */
  private static final int LOG_INTERVAL_SECONDS = 5;

  /** Identifier of this host. */
  private final String hostId;

  /** Runs handlers. */
  private final PeerDispatcher dispatcher;

  /** Counters. */
  private final PeerLinkMetrics metrics;

  /** Knows the accepted connections. */
  private final PeerServer server;

  /** Waiting messages, empty until the hello was accepted. */
  private Optional<PeerDispatcher.Queues> queues = Optional.empty();

  PeerServerHandler(
      String hostId, PeerDispatcher dispatcher, PeerLinkMetrics metrics, PeerServer server) {
    this.hostId = hostId;
    this.dispatcher = dispatcher;
    this.metrics = metrics;
    this.server = server;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    server.add(context.channel());
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    server.remove(context.channel());
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable error) {
    LOG.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
        "peer: closing connection from %s: %s", context.channel().remoteAddress(), error);
    context.close();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
    server.touch(context.channel());
    if (queues.isEmpty()) {
      acceptHello(context, frame);
      return;
    }
    switch (frame.getKind()) {
      case PEER_FRAME_MESSAGE -> dispatch(context, frame, false);
      case PEER_FRAME_REQUEST -> dispatch(context, frame, true);
      case PEER_FRAME_PROBE ->
          context.writeAndFlush(PeerFrames.bare(PeerFrameKind.PEER_FRAME_PROBE_ANSWER, 0));
      default -> {
        LOG.atInfo().log("peer: unexpected frame %s from %s", frame.getKind(), sender());
        context.close();
      }
    }
  }

  private void acceptHello(ChannelHandlerContext context, PeerFrame frame) {
    Optional<String> fault =
        PeerFrames.helloFault(frame, hostId)
            .or(() -> PeerCertificate.fault(context.channel(), frame.getHello().getHostId()));
    if (fault.isPresent()) {
      LOG.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
          "peer: rejecting connection from %s: %s", context.channel().remoteAddress(), fault.get());
      context
          .writeAndFlush(PeerFrames.rejection(fault.get()))
          .addListener(ChannelFutureListener.CLOSE);
      return;
    }
    String sender = frame.getHello().getHostId();
    queues = Optional.of(dispatcher.newQueues(sender));
    server.accept(context.channel(), sender);
    context.writeAndFlush(PeerFrames.hello(hostId, ""));
  }

  private void dispatch(ChannelHandlerContext context, PeerFrame frame, boolean wantsReply) {
    Optional<PeerChannel> channel = PeerFrames.channelOf(frame);
    boolean taken =
        channel.isPresent()
            && queues
                .orElseThrow()
                .offer(
                    channel.get(),
                    frame.getPayload(),
                    (handled, reply) -> {
                      if (wantsReply) {
                        answer(context, frame.getRequestId(), handled, reply);
                      }
                    });
    if (!taken) {
      metrics.countUnhandled();
      if (wantsReply) {
        answer(context, frame.getRequestId(), false, Optional.empty());
      }
    }
  }

  private void answer(
      ChannelHandlerContext context, long requestId, boolean handled, Optional<ByteString> reply) {
    if (!handled) {
      write(context, PeerFrames.bare(PeerFrameKind.PEER_FRAME_NOT_HANDLED, requestId));
    } else if (reply.isPresent()) {
      write(context, PeerFrames.reply(requestId, reply.get()));
    }
  }

  private void write(ChannelHandlerContext context, PeerFrame frame) {
    if (context.channel().isWritable() && server.fits(frame)) {
      metrics.countSent();
      context.writeAndFlush(frame, context.voidPromise());
    } else {
      metrics.countDropped();
    }
  }

  private String sender() {
    return queues.map(PeerDispatcher.Queues::fromHostId).orElse("an unknown host");
  }
}

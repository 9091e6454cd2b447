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

/** Handles an accepted connection: responds to hello and probes, and dispatches messages. */
final class PeerServerHandler extends SimpleChannelInboundHandler<PeerFrame> {
  /** Logger of rejected and failed connections. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Minimum time between two log lines of the same kind, in seconds. */
  private static final int LOG_INTERVAL_SECONDS = 5;

  /** ID of this host. */
  private final String hostId;

  /** Passes messages to the registered handlers. */
  private final PeerDispatcher dispatcher;

  /** Counters of the link. */
  private final PeerLinkMetrics metrics;

  /** Server that tracks the accepted connections. */
  private final PeerServer server;

  /** Queues of received messages; empty until the hello was accepted. */
  private Optional<PeerDispatcher.ConnectionQueues> queues = Optional.empty();

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
    server.recordReceived(context.channel());
    if (queues.isEmpty()) {
      acceptHello(context, frame);
      return;
    }
    switch (frame.getKind()) {
      case PEER_FRAME_MESSAGE -> dispatch(context, frame, false);
      case PEER_FRAME_REQUEST -> dispatch(context, frame, true);
      case PEER_FRAME_PROBE ->
          context.writeAndFlush(PeerFrames.control(PeerFrameKind.PEER_FRAME_PROBE_ANSWER, 0));
      default -> {
        LOG.atInfo().log("peer: unexpected frame %s from %s", frame.getKind(), sender());
        context.close();
      }
    }
  }

  private void acceptHello(ChannelHandlerContext context, PeerFrame frame) {
    Optional<String> rejectionReason =
        PeerFrames.helloRejectionReason(frame, hostId)
            .or(
                () ->
                    PeerCertificate.rejectionReason(
                        context.channel(), frame.getHello().getHostId()));
    if (rejectionReason.isPresent()) {
      LOG.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
          "peer: rejecting connection from %s: %s",
          context.channel().remoteAddress(), rejectionReason.get());
      context
          .writeAndFlush(PeerFrames.rejection(rejectionReason.get()))
          .addListener(ChannelFutureListener.CLOSE);
      return;
    }
    String sender = frame.getHello().getHostId();
    queues = Optional.of(dispatcher.newQueues(sender));
    server.assignToHost(context.channel(), sender);
    context.writeAndFlush(PeerFrames.hello(hostId, ""));
  }

  private void dispatch(ChannelHandlerContext context, PeerFrame frame, boolean expectsReply) {
    Optional<PeerChannel> channel = PeerFrames.channelOf(frame);
    boolean accepted =
        channel.isPresent()
            && queues
                .orElseThrow()
                .offer(
                    channel.get(),
                    frame.getPayload(),
                    (handled, reply) -> {
                      if (expectsReply) {
                        sendResult(context, frame.getRequestId(), handled, reply);
                      }
                    });
    if (!accepted) {
      metrics.countUnhandled();
      if (expectsReply) {
        sendResult(context, frame.getRequestId(), false, Optional.empty());
      }
    }
  }

  private void sendResult(
      ChannelHandlerContext context, long requestId, boolean handled, Optional<ByteString> reply) {
    if (!handled) {
      write(context, PeerFrames.control(PeerFrameKind.PEER_FRAME_NOT_HANDLED, requestId));
    } else if (reply.isPresent()) {
      write(context, PeerFrames.reply(requestId, reply.get()));
    }
  }

  private void write(ChannelHandlerContext context, PeerFrame frame) {
    if (context.channel().isWritable() && server.isWithinLimit(frame)) {
      metrics.countSent();
      context.writeAndFlush(frame, context.voidPromise());
    } else {
      metrics.countDropped();
    }
  }

  private String sender() {
    return queues.map(PeerDispatcher.ConnectionQueues::fromHostId).orElse("an unknown host");
  }
}

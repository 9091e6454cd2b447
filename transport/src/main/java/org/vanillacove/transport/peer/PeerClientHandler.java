package org.vanillacove.transport.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.vanillacove.protocol.generated.PeerFrame;

/** The dialling end of a connection: hands its events to the client. */
final class PeerClientHandler extends SimpleChannelInboundHandler<PeerFrame> {
  /** Owns the connection. */
  private final PeerClient client;

  PeerClientHandler(PeerClient client) {
    this.client = client;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    client.opened(context.channel());
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    client.lost(context.channel(), "connection closed");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable error) {
    client.lost(context.channel(), String.valueOf(error.getMessage()));
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
    client.received(context.channel(), frame);
  }
}

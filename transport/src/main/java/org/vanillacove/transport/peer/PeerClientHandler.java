package org.vanillacove.transport.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.vanillacove.protocol.generated.PeerFrame;

/** Passes the events of an outgoing connection to its {@link PeerClient}. */
final class PeerClientHandler extends SimpleChannelInboundHandler<PeerFrame> {
  /** Client that opened the connection. */
  private final PeerClient client;

  PeerClientHandler(PeerClient client) {
    this.client = client;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    client.sendHello(context.channel());
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    client.dropConnection(context.channel(), "connection closed");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable error) {
    client.dropConnection(context.channel(), String.valueOf(error.getMessage()));
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
    client.handleFrame(context.channel(), frame);
  }
}

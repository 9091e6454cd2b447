package org.vanillacove.transport.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.util.function.Supplier;

/** Sets up connections: TLS if wanted, frames with a length limit, protobuf, then the handler. */
final class PeerPipeline extends ChannelInitializer<Channel> {
  /** Most flushes that are merged into one. */
  private static final int MAX_MERGED_FLUSHES = 256;

  /** Settings of the link. */
  private final PeerLinkSettings settings;

  /** Adds TLS to a pipeline. */
  private final TlsInstaller tls;

  /** Creates the last handler of a connection. */
  private final Supplier<ChannelInboundHandler> handler;

  PeerPipeline(
      PeerLinkSettings settings, TlsInstaller tls, Supplier<ChannelInboundHandler> handler) {
    this.settings = settings;
    this.tls = tls;
    this.handler = handler;
  }

  /** Adds TLS to the pipeline of a connection, or nothing for plain text. */
  @FunctionalInterface
  interface TlsInstaller {
    /** Adds TLS as the first handler. */
    void install(Channel channel);
  }

  @Override
  protected void initChannel(Channel channel) {
    channel
        .config()
        .setWriteBufferWaterMark(
            new WriteBufferWaterMark(settings.writeLowBytes(), settings.writeHighBytes()));
    channel.config().setMessageSizeEstimator(PeerFrameSizeEstimator.INSTANCE);
    tls.install(channel);
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addLast(new FlushConsolidationHandler(MAX_MERGED_FLUSHES, true));
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(
            settings.maxFrameBytes() + PeerFrameCodec.LENGTH_BYTES,
            0,
            PeerFrameCodec.LENGTH_BYTES,
            0,
            PeerFrameCodec.LENGTH_BYTES));
    pipeline.addLast(new PeerFrameCodec());
    pipeline.addLast(handler.get());
  }
}

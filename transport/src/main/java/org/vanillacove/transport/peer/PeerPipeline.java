package org.vanillacove.transport.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.util.function.Supplier;

/** Configures connections: optional TLS, frames of limited length, protobuf and the handler. */
final class PeerPipeline extends ChannelInitializer<Channel> {
  /** Maximum number of flushes that are consolidated into one. */
  private static final int MAX_MERGED_FLUSHES = 256;

  /** Frame size limit and write buffer watermarks. */
  private final PeerLinkSettings settings;

  /** Adds TLS as the first handler of each connection, if enabled. */
  private final TlsInstaller tls;

  /** Creates the handler of decoded frames for each connection. */
  private final Supplier<ChannelInboundHandler> handler;

  PeerPipeline(
      PeerLinkSettings settings, TlsInstaller tls, Supplier<ChannelInboundHandler> handler) {
    this.settings = settings;
    this.tls = tls;
    this.handler = handler;
  }

  /** Adds TLS to a connection; does nothing if TLS is disabled. */
  @FunctionalInterface
  interface TlsInstaller {
    /** Adds the TLS handler to the channel's empty pipeline. */
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

package org.vanillacove.transport.peer;

import io.netty.channel.DefaultMessageSizeEstimator;
import io.netty.channel.MessageSizeEstimator;
import org.vanillacove.protocol.generated.PeerFrame;

/** Sizes of frames that wait to be encoded, so that the write watermark counts them in full. */
enum PeerFrameSizeEstimator implements MessageSizeEstimator {
  /** The only instance. */
  INSTANCE;

  /** Sizes of other messages. */
  private static final Handle OTHERS = DefaultMessageSizeEstimator.DEFAULT.newHandle();

  @Override
  public Handle newHandle() {
    return message ->
        message instanceof PeerFrame frame
            ? PeerFrameCodec.LENGTH_BYTES + frame.getSerializedSize()
            : OTHERS.size(message);
  }
}

package org.vanillacove.transport.peer;

import io.netty.channel.DefaultMessageSizeEstimator;
import io.netty.channel.MessageSizeEstimator;
import org.vanillacove.protocol.generated.PeerFrame;

/** Reports encoded frame sizes, so that the write watermarks count unsent frames in full. */
enum PeerFrameSizeEstimator implements MessageSizeEstimator {
  /** Singleton; the estimator has no state. */
  INSTANCE;

  /** Netty's default estimate for messages that aren't frames. */
  private static final Handle DEFAULT_HANDLE = DefaultMessageSizeEstimator.DEFAULT.newHandle();

  @Override
  public Handle newHandle() {
    return message ->
        message instanceof PeerFrame frame
            ? PeerFrameCodec.LENGTH_BYTES + frame.getSerializedSize()
            : DEFAULT_HANDLE.size(message);
  }
}

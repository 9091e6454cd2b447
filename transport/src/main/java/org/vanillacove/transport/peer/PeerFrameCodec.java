package org.vanillacove.transport.peer;

import com.google.protobuf.CodedOutputStream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageCodec;
import java.io.IOException;
import java.util.List;
import org.vanillacove.protocol.generated.PeerFrame;

/** Decodes frames to protobuf messages; encodes messages to frames with a length prefix. */
final class PeerFrameCodec extends MessageToMessageCodec<ByteBuf, PeerFrame> {
  /** Size of the length prefix of a frame, in bytes. */
  static final int LENGTH_BYTES = 4;

  @Override
  protected void encode(ChannelHandlerContext context, PeerFrame frame, List<Object> out)
      throws IOException {
    int size = frame.getSerializedSize();
    ByteBuf buffer = context.alloc().ioBuffer(LENGTH_BYTES + size, LENGTH_BYTES + size);
    buffer.writeInt(size);
    CodedOutputStream stream = CodedOutputStream.newInstance(buffer.nioBuffer(LENGTH_BYTES, size));
    frame.writeTo(stream);
    stream.flush();
    buffer.writerIndex(LENGTH_BYTES + size);
    out.add(buffer);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out)
      throws IOException {
    try (ByteBufInputStream stream = new ByteBufInputStream(bytes)) {
      out.add(PeerFrame.parseFrom(stream));
    }
  }
}

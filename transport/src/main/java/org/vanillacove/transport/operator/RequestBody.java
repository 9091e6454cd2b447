package org.vanillacove.transport.operator;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Decodes request bodies. */
final class RequestBody {
  private RequestBody() {}

  /** Decodes a body strictly, since a lenient decoder would replace invalid UTF-8 unnoticed. */
  static String text(AggregatedHttpRequest request) {
    try {
      return StandardCharsets.UTF_8
          .newDecoder()
          .decode(ByteBuffer.wrap(request.content().array()))
          .toString();
    } catch (CharacterCodingException e) {
      throw new InvalidParameterException("$", "the body is not UTF-8");
    }
  }
}

package org.vanillacove.transport.operator;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Reads the text of a request's body. */
final class RequestBody {
  private RequestBody() {}

  /** Returns the text; bytes that are not UTF-8 are refused, for a reader would replace them. */
  static String text(AggregatedHttpRequest request) {
    try {
      return StandardCharsets.UTF_8
          .newDecoder()
          .decode(ByteBuffer.wrap(request.content().array()))
          .toString();
    } catch (CharacterCodingException e) {
      throw new BadParameterException("$", "the body is not UTF-8");
    }
  }
}

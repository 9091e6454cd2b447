package org.vanillacove.transport.guest;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.stream.StreamMessage;
import org.vanillacove.coordination.routing.RequestOutcome;

/** Result of one attempt to run a request on a backend server. */
sealed interface BackendResponse {
  /**
   * A complete response, held in memory.
   *
   * @param response status, headers and body
   */
  record Complete(AggregatedHttpResponse response) implements BackendResponse {}

  /**
   * A response whose body is still arriving; the body stream fails if it is truncated.
   *
   * @param headers status and headers
   * @param body body, which may be subscribed to only once
   */
  record Streaming(ResponseHeaders headers, StreamMessage<HttpData> body)
      implements BackendResponse {}

  /**
   * No response that may be forwarded to the guest.
   *
   * @param outcome whether the request did not run or may have run
   */
  record Failed(RequestOutcome outcome) implements BackendResponse {}
}

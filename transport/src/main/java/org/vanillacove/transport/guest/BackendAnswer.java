package org.vanillacove.transport.guest;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.stream.StreamMessage;
import org.vanillacove.coordination.routing.RequestOutcome;

/** What came of an attempt at a backend server. */
sealed interface BackendAnswer {
  /**
   * A whole answer in memory.
   *
   * @param response the answer
   */
  record Whole(AggregatedHttpResponse response) implements BackendAnswer {}

  /**
   * The start of an answer; its body fails unless it is whole.
   *
   * @param headers headers
   * @param body body, to be subscribed once
   */
  record Streaming(ResponseHeaders headers, StreamMessage<HttpData> body)
      implements BackendAnswer {}

  /**
   * No answer that may be passed on.
   *
   * @param outcome not run or unknown
   */
  record Failed(RequestOutcome outcome) implements BackendAnswer {}
}

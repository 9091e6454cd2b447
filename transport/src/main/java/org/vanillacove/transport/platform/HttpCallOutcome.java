package org.vanillacove.transport.platform;

import com.google.protobuf.ByteString;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpStatus;

/** Outcome of an HTTP call to the platform or a worker. */
sealed interface HttpCallOutcome {
  /** Response header with which the platform and workers report the outcome of a request. */
  String OUTCOME_HEADER = "x-outcome";

  /** Value of {@link #OUTCOME_HEADER} for a request that is known to have had no effect. */
  String OUTCOME_REFUSED = "refused";

  /** Maximum number of characters of an error body that are included in a reason. */
  int MAX_REASON_LENGTH = 200;

  /**
   * A complete response was received.
   *
   * @param response the response, of any status
   */
  record Responded(AggregatedHttpResponse response) implements HttpCallOutcome {
    /** Returns whether the status is 200, that is, the request was carried out. */
    boolean isOk() {
      return response.status().equals(HttpStatus.OK);
    }

    /** Returns whether the response confirms that the request had no effect. */
    boolean isRefusal() {
      return !response.status().isSuccess()
          && OUTCOME_REFUSED.equals(response.headers().get(OUTCOME_HEADER));
    }

    /** Returns a copy of the response body. */
    ByteString body() {
      return ByteString.copyFrom(response.content().array());
    }

    /** Returns the status code and the beginning of the body, for messages. */
    String reason() {
      String text = response.contentUtf8().strip();
      String excerpt = text.substring(0, Math.min(text.length(), MAX_REASON_LENGTH));
      return "status " + response.status().code() + (excerpt.isEmpty() ? "" : ": " + excerpt);
    }
  }

  /**
   * The request is known not to have been processed.
   *
   * @param reason why it was not processed
   */
  record NotSent(String reason) implements HttpCallOutcome {}

  /**
   * No complete response was received; the request may have been processed.
   *
   * @param reason what went wrong
   */
  record NoResponse(String reason) implements HttpCallOutcome {}
}

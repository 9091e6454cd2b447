package org.vanillacove.transport.platform;

import com.google.protobuf.ByteString;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpStatus;

/** Outcome of an HTTP call. */
sealed interface HttpCallOutcome {
  /** Header by which the platform and workers say that a request took no effect. */
  String OUTCOME_HEADER = "x-outcome";

  /** Value of the header for a request that certainly took no effect. */
  String OUTCOME_REFUSED = "refused";

  /** Most characters of an error body that a reason shows. */
  int MAX_REASON_LENGTH = 200;

  /**
   * A whole answer came.
   *
   * @param response the answer
   */
  record Answered(AggregatedHttpResponse response) implements HttpCallOutcome {
    /** Returns whether the request was carried out. */
    boolean isOk() {
      return response.status().equals(HttpStatus.OK);
    }

    /** Returns whether the answer says that the request certainly took no effect. */
    boolean isRefusal() {
      return !response.status().isSuccess()
          && OUTCOME_REFUSED.equals(response.headers().get(OUTCOME_HEADER));
    }

    /** Returns the body. */
    ByteString body() {
      return ByteString.copyFrom(response.content().array());
    }

    /** Returns the status and the start of the body. */
    String reason() {
      String text = response.contentUtf8().strip();
      String shown = text.substring(0, Math.min(text.length(), MAX_REASON_LENGTH));
      return "status " + response.status().code() + (shown.isEmpty() ? "" : ": " + shown);
    }
  }

  /**
   * The request was certainly not processed.
   *
   * @param reason why
   */
  record NotSent(String reason) implements HttpCallOutcome {}

  /**
   * No whole answer came; the request may have been processed.
   *
   * @param reason what went wrong
   */
  record NoAnswer(String reason) implements HttpCallOutcome {}
}

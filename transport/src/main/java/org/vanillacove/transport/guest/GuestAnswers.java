package org.vanillacove.transport.guest;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.HttpHeadersBuilder;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import io.netty.util.AsciiString;

/** Builds the answers to guests and the headers towards backend servers. */
final class GuestAnswers {
  private GuestAnswers() {}

  /** Returns an answer to a request that did not run. */
  static HttpResponse notRun(HttpStatus status, String reason, long retryAfterMillis) {
    HttpHeadersBuilder extra = HttpHeaders.builder();
    if (retryAfterMillis > 0) {
      extra.set(HttpHeaderNames.RETRY_AFTER, Long.toString((retryAfterMillis + 999) / 1_000));
    }
    return failure(status, GuestHeaders.NOT_RUN, reason, extra.build());
  }

  /** Returns an answer to a request that may have run. */
  static HttpResponse unknown(HttpStatus status, String reason) {
    return failure(status, GuestHeaders.UNKNOWN, reason, HttpHeaders.of());
  }

  /** Returns an answer to a repeated attempt of a request that ran. */
  static HttpResponse alreadyRun(String reason) {
    return failure(HttpStatus.CONFLICT, GuestHeaders.RUN, reason, HttpHeaders.of());
  }

  /** Returns the headers of an answer as the guest gets them. */
  static ResponseHeaders towardsGuest(ResponseHeaders headers) {
    ResponseHeadersBuilder builder = headers.toBuilder();
    GuestHeaders.HOP_BY_HOP.forEach(builder::remove);
    builder.remove(GuestHeaders.REQUEST_ID);
    return builder.set(GuestHeaders.OUTCOME, GuestHeaders.RUN).build();
  }

  /** Returns the headers of a request as the backend server gets them. */
  static RequestHeaders towardsBackend(RequestHeaders headers, String id, long remainingMillis) {
    RequestHeadersBuilder builder = headers.toBuilder();
    for (AsciiString name : GuestHeaders.HOP_BY_HOP) {
      builder.remove(name);
    }
    builder.remove(HttpHeaderNames.AUTHORITY);
    builder.remove(HttpHeaderNames.HOST);
    builder.set(GuestHeaders.REQUEST_ID, id);
    builder.setLong(GuestHeaders.DEADLINE, remainingMillis);
    return builder.build();
  }

  private static HttpResponse failure(
      HttpStatus status, String outcome, String reason, HttpHeaders extra) {
    ResponseHeaders headers =
        ResponseHeaders.builder(status)
            .contentType(MediaType.PLAIN_TEXT_UTF_8)
            .set(GuestHeaders.OUTCOME, outcome)
            .set(GuestHeaders.REASON, reason)
            .add(extra)
            .build();
    return HttpResponse.of(headers, HttpData.ofUtf8(reason + "\n"));
  }
}

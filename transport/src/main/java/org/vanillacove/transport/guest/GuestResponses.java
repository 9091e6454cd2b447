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

/** Builds responses to guests and the headers of requests to backend servers. */
final class GuestResponses {
  private GuestResponses() {}

  /** Returns the response to a request that did not run. */
  static HttpResponse notRun(HttpStatus status, String reason, long retryAfterMillis) {
    HttpHeadersBuilder extra = HttpHeaders.builder();
    if (retryAfterMillis > 0) {
      extra.set(HttpHeaderNames.RETRY_AFTER, Long.toString((retryAfterMillis + 999) / 1_000));
    }
    return plainText(status, GuestHeaders.NOT_RUN, reason, extra.build());
  }

  /** Returns the response to a request that may have run. */
  static HttpResponse unknown(HttpStatus status, String reason) {
    return plainText(status, GuestHeaders.UNKNOWN, reason, HttpHeaders.of());
  }

  /** Returns the response to a repeated attempt of a request that has already run. */
  static HttpResponse alreadyRun(String reason) {
    return plainText(HttpStatus.CONFLICT, GuestHeaders.RUN, reason, HttpHeaders.of());
  }

  /** Returns the response headers that are sent to the guest. */
  static ResponseHeaders guestResponseHeaders(ResponseHeaders headers) {
    ResponseHeadersBuilder builder = headers.toBuilder();
    GuestHeaders.HOP_BY_HOP.forEach(builder::remove);
    builder.remove(GuestHeaders.REQUEST_ID);
    return builder.set(GuestHeaders.OUTCOME, GuestHeaders.RUN).build();
  }

  /** Returns the request headers that are sent to the backend server. */
  static RequestHeaders backendRequestHeaders(
      RequestHeaders headers, String id, long remainingMillis) {
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

  private static HttpResponse plainText(
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

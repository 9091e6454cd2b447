package org.vanillacove.transport.guest;

import com.linecorp.armeria.common.HttpHeaderNames;
import io.netty.util.AsciiString;
import java.util.Set;

/** Names of the headers between guests, entry hosts and backend servers. */
public final class GuestHeaders {
  /** Outcome of the request: {@code run}, {@code not-run} or {@code unknown}. */
  public static final AsciiString OUTCOME = HttpHeaderNames.of("vanillacove-outcome");

  /** Reason of a refusal or failure. */
  public static final AsciiString REASON = HttpHeaderNames.of("vanillacove-reason");

  /** Name of the guest; the caller's address if it is missing. */
  public static final AsciiString GUEST = HttpHeaderNames.of("vanillacove-guest");

  /** Class of the request: {@code quick}, {@code middle} or {@code heavy}. */
  public static final AsciiString CLASS = HttpHeaderNames.of("vanillacove-class");

  /** Time within which the answer is needed, in milliseconds. */
  public static final AsciiString DEADLINE = HttpHeaderNames.of("vanillacove-deadline-millis");

  /** Whether the request may run more than once, {@code true} or {@code false}. */
  public static final AsciiString IDEMPOTENT = HttpHeaderNames.of("vanillacove-idempotent");

  /** Idempotency key. */
  public static final AsciiString KEY = HttpHeaderNames.of("vanillacove-key");

  /** Marks an attempt that follows another one with the same key. */
  public static final AsciiString REPEATED = HttpHeaderNames.of("vanillacove-repeated");

  /** Identifier of the request towards backend servers, which may echo it. */
  public static final AsciiString REQUEST_ID = HttpHeaderNames.of("vanillacove-request-id");

  /** Outcome of an answered request. */
  public static final String RUN = "run";

  /** Outcome of a request that certainly did not run. */
  public static final String NOT_RUN = "not-run";

  /** Outcome of a request that may have run. */
  public static final String UNKNOWN = "unknown";

  /** Headers that concern one connection and are not passed on. */
  static final Set<AsciiString> HOP_BY_HOP =
      Set.of(
          HttpHeaderNames.CONNECTION,
          HttpHeaderNames.of("keep-alive"),
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          HttpHeaderNames.of("proxy-connection"),
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE);

  private GuestHeaders() {}
}

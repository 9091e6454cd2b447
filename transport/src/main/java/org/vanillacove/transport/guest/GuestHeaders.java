package org.vanillacove.transport.guest;

import com.linecorp.armeria.common.HttpHeaderNames;
import io.netty.util.AsciiString;
import java.util.Set;

/** HTTP headers exchanged between guests, entry hosts and backend servers. */
public final class GuestHeaders {
  /** Outcome of the request: {@code run}, {@code not-run} or {@code unknown}. */
  public static final AsciiString OUTCOME = HttpHeaderNames.of("vanillacove-outcome");

  /** Reason of a refusal or failure. */
  public static final AsciiString REASON = HttpHeaderNames.of("vanillacove-reason");

  /** Name of the guest; defaults to the address of the caller. */
  public static final AsciiString GUEST = HttpHeaderNames.of("vanillacove-guest");

  /** Class of the request: {@code quick}, {@code middle} or {@code heavy}. */
  public static final AsciiString CLASS = HttpHeaderNames.of("vanillacove-class");

  /** Deadline of the request, in milliseconds from its arrival. */
  public static final AsciiString DEADLINE = HttpHeaderNames.of("vanillacove-deadline-millis");

  /** Whether the request may run more than once, {@code true} or {@code false}. */
  public static final AsciiString IDEMPOTENT = HttpHeaderNames.of("vanillacove-idempotent");

  /** Idempotency key: a request that is not idempotent runs at most once per key. */
  public static final AsciiString KEY = HttpHeaderNames.of("vanillacove-key");

  /** Set to {@code true} on an attempt that follows another one with the same key. */
  public static final AsciiString REPEATED = HttpHeaderNames.of("vanillacove-repeated");

  /** Request identifier sent to backend servers; a response that echoes another is discarded. */
  public static final AsciiString REQUEST_ID = HttpHeaderNames.of("vanillacove-request-id");

  /** Outcome of a request that ran. */
  public static final String RUN = "run";

  /** Outcome of a request that certainly did not run. */
  public static final String NOT_RUN = "not-run";

  /** Outcome of a request that may have run. */
  public static final String UNKNOWN = "unknown";

  /** Headers that apply to a single connection and are not forwarded. */
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

package org.vanillacove.transport.guest;

import com.google.common.primitives.Longs;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import java.util.Optional;
import java.util.Set;
import org.vanillacove.coordination.routing.RequestClass;
import org.vanillacove.coordination.routing.RoutedRequest;

/**
 * A guest request as described by its headers.
 *
 * @param routed the part of the request that the router needs
 * @param key idempotency key, empty if the guest sent none
 * @param repeated whether the caller marked the attempt as repeated
 * @param replayable whether the body is held in memory and can be sent again
 */
record GuestRequest(
    RoutedRequest routed, Optional<String> key, boolean repeated, boolean replayable) {
  /** Methods that are idempotent unless {@link GuestHeaders#IDEMPOTENT} overrides it. */
  private static final Set<HttpMethod> IDEMPOTENT_METHODS =
      Set.of(
          HttpMethod.GET, HttpMethod.HEAD, HttpMethod.PUT, HttpMethod.DELETE, HttpMethod.OPTIONS);

  /** Maximum length of an idempotency key, in characters. */
  private static final int MAX_KEY_LENGTH = 128;

  /** Result of parsing the headers. */
  sealed interface Parsed {
    /**
     * All headers are valid.
     *
     * @param request the parsed request
     */
    record Valid(GuestRequest request) implements Parsed {}

    /**
     * A header is invalid.
     *
     * @param reason name of the header and the problem
     */
    record Invalid(String reason) implements Parsed {}
  }

  /**
   * Parses the headers.
   *
   * @param id identifier of the request
   * @param address address of the caller
   * @param nowMillis monotonic time in milliseconds
   * @param maxMillis maximum deadline in milliseconds, also used if the headers contain none
   */
  static Parsed parse(
      RequestHeaders headers, String id, String address, long nowMillis, long maxMillis) {
    String className = headers.get(GuestHeaders.CLASS, RequestClass.MIDDLE.name());
    Optional<RequestClass> requestClass = RequestClass.parse(className);
    if (requestClass.isEmpty()) {
      return invalid(GuestHeaders.CLASS + " must be quick, middle or heavy: " + className);
    }
    String deadline = headers.get(GuestHeaders.DEADLINE, Long.toString(maxMillis));
    Long millis = Longs.tryParse(deadline);
    if (millis == null || millis <= 0) {
      return invalid(GuestHeaders.DEADLINE + " must be a positive number: " + deadline);
    }
    Optional<String> key = Optional.ofNullable(headers.get(GuestHeaders.KEY));
    if (key.filter(text -> text.isEmpty() || text.length() > MAX_KEY_LENGTH).isPresent()) {
      return invalid(GuestHeaders.KEY + " must have 1 to " + MAX_KEY_LENGTH + " characters");
    }
    boolean usual = IDEMPOTENT_METHODS.contains(headers.method());
    String idempotent = headers.get(GuestHeaders.IDEMPOTENT, Boolean.toString(usual));
    RoutedRequest routed =
        new RoutedRequest(
            id,
            headers.get(GuestHeaders.GUEST, address),
            requestClass.get(),
            Boolean.parseBoolean(idempotent),
            nowMillis + Math.min(millis, maxMillis),
            Set.of());
    boolean repeated = Boolean.parseBoolean(headers.get(GuestHeaders.REPEATED));
    return new Parsed.Valid(new GuestRequest(routed, key, repeated, true));
  }

  /** Returns the same request marked as having a body that can be sent only once. */
  GuestRequest withoutReplay() {
    return new GuestRequest(routed, key, repeated, false);
  }

  private static Parsed invalid(String reason) {
    return new Parsed.Invalid(reason);
  }
}

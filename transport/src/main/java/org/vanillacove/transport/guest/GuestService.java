package org.vanillacove.transport.guest;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.vanillacove.coordination.routing.RequestRouter;
import org.vanillacove.protocol.timer.TimerService;

/**
 * Runs each guest request on a backend server and responds with its outcome. Small bodies are read
 * completely before a slot is acquired, so that slow senders don't occupy slots.
 */
final class GuestService implements HttpService {
  /** Methods whose requests have no body unless a content length is given. */
  private static final Set<HttpMethod> METHODS_WITHOUT_BODY =
      Set.of(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.DELETE, HttpMethod.OPTIONS);

  /** Assigns requests to slots of backend servers. */
  private final RequestRouter router;

  /** Sends requests to backend servers. */
  private final BackendClient client;

  /** Clock for deadlines and durations. */
  private final TimerService timer;

  /** Limits on bodies and the time in which they must arrive. */
  private final GuestLimits limits;

  /** Maximum deadline of a request, in milliseconds. */
  private final LongSupplier maxDeadlineMillis;

  /** Ensures that a request with an idempotency key runs at most once. */
  private final IdempotencyKeyGuard keys;

  /** Random prefix of request identifiers that distinguishes processes. */
  private final String requestIdPrefix =
      Long.toString(ThreadLocalRandom.current().nextLong(Long.MAX_VALUE), Character.MAX_RADIX);

  /** Number of requests received, used to number them. */
  private final AtomicLong requestCount = new AtomicLong();

  /** Number of requests whose response is not complete. */
  private final AtomicInteger inProgress = new AtomicInteger();

  GuestService(
      RequestRouter router,
      BackendClient client,
      TimerService timer,
      GuestLimits limits,
      LongSupplier maxDeadlineMillis,
      IdempotencyKeyGuard keys) {
    this.router = router;
    this.client = client;
    this.timer = timer;
    this.limits = limits;
    this.maxDeadlineMillis = maxDeadlineMillis;
    this.keys = keys;
  }

  /** Returns the number of requests in progress. */
  int inProgress() {
    return inProgress.get();
  }

  @Override
  public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
    String id = requestIdPrefix + "-" + requestCount.incrementAndGet();
    String address = context.clientAddress().getHostAddress();
    GuestRequest.Parsed parsed =
        GuestRequest.parse(
            request.headers(), id, address, timer.monotonicMillis(), maxDeadlineMillis.getAsLong());
    return switch (parsed) {
      case GuestRequest.Parsed.Invalid invalid ->
          GuestResponses.notRun(HttpStatus.BAD_REQUEST, invalid.reason(), 0);
      case GuestRequest.Parsed.Valid valid -> accept(context, request, valid.request());
    };
  }

  private HttpResponse accept(
      ServiceRequestContext context, HttpRequest request, GuestRequest guest) {
    inProgress.incrementAndGet();
    RequestHeaders headers = request.headers();
    boolean small =
        headers.contentLength() < 0
            ? METHODS_WITHOUT_BODY.contains(headers.method()) || request.isEmpty()
            : headers.contentLength() <= limits.maxReplayBytes();
    HttpResponse response =
        small ? handleBuffered(context, request, guest) : handleStreamed(context, request, guest);
    response.whenComplete().whenComplete((done, error) -> inProgress.decrementAndGet());
    return response;
  }

  private HttpResponse handleBuffered(
      ServiceRequestContext context, HttpRequest request, GuestRequest guest) {
    context.setMaxRequestLength(limits.maxReplayBytes());
    CompletableFuture<AggregatedHttpRequest> body = request.aggregate(context.eventLoop());
    long timeoutMillis = limits.bodyTimeout().toMillis();
    context
        .eventLoop()
        .schedule(
            () -> {
              if (!body.isDone()) {
                request.abort();
              }
            },
            timeoutMillis,
            TimeUnit.MILLISECONDS);
    CompletableFuture<HttpResponse> response =
        body.thenCompose(whole -> run(context, guest, headers -> requestWithBody(whole, headers)))
            .exceptionally(
                error ->
                    GuestResponses.notRun(HttpStatus.REQUEST_TIMEOUT, "incomplete request", 0));
    return HttpResponse.of(response);
  }

  private HttpResponse handleStreamed(
      ServiceRequestContext context, HttpRequest request, GuestRequest guest) {
    GuestRequest once = guest.withoutReplay();
    return HttpResponse.of(run(context, once, request::withHeaders));
  }

  private CompletableFuture<HttpResponse> run(
      ServiceRequestContext context,
      GuestRequest guest,
      Function<RequestHeaders, HttpRequest> body) {
    GuestExchange exchange = new GuestExchange(router, client, timer, context, guest, body);
    return keys.guard(guest, exchange::start);
  }

  private static HttpRequest requestWithBody(
      AggregatedHttpRequest request, RequestHeaders headers) {
    return HttpRequest.of(headers, request.content(), request.trailers());
  }
}

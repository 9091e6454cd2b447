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
 * Takes guests' requests, has each run on a backend server and answers with its outcome. Small
 * bodies are read whole before a slot is taken, so that slow senders hold no slot.
 */
final class GuestService implements HttpService {
  /** Methods whose requests usually have no body. */
  private static final Set<HttpMethod> BODILESS =
      Set.of(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.DELETE, HttpMethod.OPTIONS);

  /** Decides where requests run. */
  private final RequestRouter router;

  /** Sends them there. */
  private final BackendClient client;

  /** Source of time. */
  private final TimerService timer;

  /** Limits. */
  private final GuestLimits limits;

  /** Longest deadline in milliseconds. */
  private final LongSupplier maxDeadlineMillis;

  /** Guards requests that carry an idempotency key. */
  private final KeyGuard keys;

  /** Prefix of identifiers, different for each process. */
  private final String prefix =
      Long.toString(ThreadLocalRandom.current().nextLong(Long.MAX_VALUE), Character.MAX_RADIX);

  /** Number of requests so far. */
  private final AtomicLong count = new AtomicLong();

  /** Requests in progress. */
  private final AtomicInteger inProgress = new AtomicInteger();

  GuestService(
      RequestRouter router,
      BackendClient client,
      TimerService timer,
      GuestLimits limits,
      LongSupplier maxDeadlineMillis,
      KeyGuard keys) {
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
    String id = prefix + "-" + count.incrementAndGet();
    String address = context.clientAddress().getHostAddress();
    GuestRequest.Parsed parsed =
        GuestRequest.parse(
            request.headers(), id, address, timer.monotonicMillis(), maxDeadlineMillis.getAsLong());
    return switch (parsed) {
      case GuestRequest.Parsed.Invalid invalid ->
          GuestAnswers.notRun(HttpStatus.BAD_REQUEST, invalid.reason(), 0);
      case GuestRequest.Parsed.Valid valid -> accept(context, request, valid.request());
    };
  }

  private HttpResponse accept(
      ServiceRequestContext context, HttpRequest request, GuestRequest guest) {
    inProgress.incrementAndGet();
    RequestHeaders headers = request.headers();
    boolean small =
        headers.contentLength() < 0
            ? BODILESS.contains(headers.method()) || request.isEmpty()
            : headers.contentLength() <= limits.maxReplayBytes();
    HttpResponse response =
        small ? buffered(context, request, guest) : streamed(context, request, guest);
    response.whenComplete().whenComplete((done, error) -> inProgress.decrementAndGet());
    return response;
  }

  private HttpResponse buffered(
      ServiceRequestContext context, HttpRequest request, GuestRequest guest) {
    context.setMaxRequestLength(limits.maxReplayBytes());
    CompletableFuture<AggregatedHttpRequest> body = request.aggregate(context.eventLoop());
    long patience = limits.bodyTimeout().toMillis();
    context
        .eventLoop()
        .schedule(
            () -> {
              if (!body.isDone()) {
                request.abort();
              }
            },
            patience,
            TimeUnit.MILLISECONDS);
    CompletableFuture<HttpResponse> response =
        body.thenCompose(whole -> run(context, guest, headers -> whole(whole, headers)))
            .exceptionally(
                error -> GuestAnswers.notRun(HttpStatus.REQUEST_TIMEOUT, "incomplete request", 0));
    return HttpResponse.of(response);
  }

  private HttpResponse streamed(
      ServiceRequestContext context, HttpRequest request, GuestRequest guest) {
    GuestRequest once = guest.once();
    return HttpResponse.of(run(context, once, request::withHeaders));
  }

  private CompletableFuture<HttpResponse> run(
      ServiceRequestContext context,
      GuestRequest guest,
      Function<RequestHeaders, HttpRequest> body) {
    GuestExchange exchange = new GuestExchange(router, client, timer, context, guest, body);
    return keys.guard(guest, exchange::start);
  }

  private static HttpRequest whole(AggregatedHttpRequest request, RequestHeaders headers) {
    return HttpRequest.of(headers, request.content(), request.trailers());
  }
}

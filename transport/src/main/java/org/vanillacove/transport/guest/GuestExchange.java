package org.vanillacove.transport.guest;

import com.linecorp.armeria.client.retry.Backoff;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.vanillacove.coordination.routing.Admission;
import org.vanillacove.coordination.routing.RequestOutcome;
import org.vanillacove.coordination.routing.RequestRouter;
import org.vanillacove.coordination.routing.RoutedRequest;
import org.vanillacove.coordination.routing.SlotHold;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.protocol.timer.TimerService;

/** Processes one guest request, including its retries, until a response is available. */
final class GuestExchange {
  /** Delay before a retry, in milliseconds. */
  private static final Backoff RETRY_BACKOFF = Backoff.exponential(5, 200).withJitter(0.5);

  /** Assigns the request to a slot of a backend server. */
  private final RequestRouter router;

  /** Sends the request to the assigned backend server. */
  private final BackendClient client;

  /** Clock for deadlines and durations. */
  private final TimerService timer;

  /** Server context of the request, which also reports its cancellation by the guest. */
  private final ServiceRequestContext context;

  /** The request as parsed from its headers. */
  private final GuestRequest guest;

  /** Combines the given headers with the body of the guest's request. */
  private final Function<RequestHeaders, HttpRequest> body;

  /** Response to the guest; completed once. */
  private final CompletableFuture<HttpResponse> result = new CompletableFuture<>();

  /** Number of times the request was sent to a backend server. */
  private int attempts;

  GuestExchange(
      RequestRouter router,
      BackendClient client,
      TimerService timer,
      ServiceRequestContext context,
      GuestRequest guest,
      Function<RequestHeaders, HttpRequest> body) {
    this.router = router;
    this.client = client;
    this.timer = timer;
    this.context = context;
    this.guest = guest;
    this.body = body;
  }

  /** Starts the first attempt and returns the response to the guest. */
  CompletableFuture<HttpResponse> start() {
    attempt(guest.routed());
    return result;
  }

  private void attempt(RoutedRequest request) {
    CompletableFuture<Admission> admission = router.admit(request);
    CompletableFuture<Void> cancelled = context.whenRequestCancelling().thenAccept(cause -> {});
    cancelled.thenRun(() -> admission.complete(new Admission.Refused("the guest went away", 0)));
    admission.thenAccept(
        granted -> context.eventLoop().execute(() -> handleAdmission(request, granted)));
  }

  private void handleAdmission(RoutedRequest request, Admission admission) {
    switch (admission) {
      case Admission.Granted granted -> send(request, granted.hold());
      case Admission.Refused refused ->
          result.complete(
              GuestResponses.notRun(
                  HttpStatus.SERVICE_UNAVAILABLE, refused.reason(), refused.retryAfterMillis()));
    }
  }

  private void send(RoutedRequest request, SlotHold hold) {
    Optional<ListedHost> backend = router.backend(hold.backendId());
    long remaining = request.deadlineMillis() - timer.monotonicMillis();
    if (backend.isEmpty() || remaining <= 0 || context.isCancelled()) {
      router.abandon(hold);
      result.complete(
          GuestResponses.notRun(HttpStatus.SERVICE_UNAVAILABLE, "the backend server is gone", 1));
      return;
    }
    attempts++;
    RequestHeaders headers =
        GuestResponses.backendRequestHeaders(context.request().headers(), request.id(), remaining);
    long started = timer.monotonicMillis();
    HttpRequest outgoing = body.apply(headers);
    client
        .send(backend.get(), outgoing, remaining)
        .thenAccept(attempt -> handleResponse(request, hold, started, attempt));
  }

  private void handleResponse(
      RoutedRequest request, SlotHold hold, long started, BackendClient.Attempt attempt) {
    switch (attempt.answer()) {
      case BackendResponse.Complete whole -> {
        ResponseHeaders headers = whole.response().headers();
        completeAttempt(
            request, hold, started, new RequestOutcome.Answered(headers.status().code()));
        result.complete(
            HttpResponse.of(
                GuestResponses.guestResponseHeaders(headers), whole.response().content()));
      }
      case BackendResponse.Streaming streaming -> stream(request, hold, started, streaming);
      case BackendResponse.Failed failed -> {
        completeAttempt(request, hold, started, failed.outcome());
        retryOrFail(request, hold.backendId(), failed.outcome());
      }
    }
  }

  private void stream(
      RoutedRequest request, SlotHold hold, long started, BackendResponse.Streaming streaming) {
    ResponseHeaders headers = streaming.headers();
    streaming
        .body()
        .whenComplete()
        .whenComplete(
            (done, error) -> {
              RequestOutcome outcome =
                  error == null
                      ? new RequestOutcome.Answered(headers.status().code())
                      : BackendClient.outcomeOf(error);
              if (error != null && context.isCancelled()) {
                router.abandon(hold);
              } else {
                completeAttempt(request, hold, started, outcome);
              }
            });
    HttpResponse response =
        HttpResponse.of(GuestResponses.guestResponseHeaders(headers), streaming.body());
    if (!result.complete(response)) {
      streaming.body().abort();
    }
  }

  private void completeAttempt(
      RoutedRequest request, SlotHold hold, long started, RequestOutcome outcome) {
    router.finish(hold, request, outcome, timer.monotonicMillis() - started);
  }

  private void retryOrFail(RoutedRequest request, String backendId, RequestOutcome outcome) {
    Optional<RoutedRequest> next =
        guest.replayable() ? router.retry(request, outcome, backendId) : Optional.empty();
    if (next.isPresent() && !context.isCancelled()) {
      long pause = Math.max(0, RETRY_BACKOFF.nextDelayMillis(attempts));
      context.eventLoop().schedule(() -> attempt(next.get()), pause, TimeUnit.MILLISECONDS);
      return;
    }
    HttpResponse response =
        switch (outcome) {
          case RequestOutcome.NotRun notRun ->
              GuestResponses.notRun(HttpStatus.SERVICE_UNAVAILABLE, notRun.reason(), 1_000);
          case RequestOutcome.Unknown unknown ->
              GuestResponses.unknown(unknownOutcomeStatus(request), unknown.reason());
          case RequestOutcome.Answered answered ->
              GuestResponses.unknown(HttpStatus.BAD_GATEWAY, "no answer to pass on");
        };
    result.complete(response);
  }

  private HttpStatus unknownOutcomeStatus(RoutedRequest request) {
    boolean late = timer.monotonicMillis() >= request.deadlineMillis();
    return late ? HttpStatus.GATEWAY_TIMEOUT : HttpStatus.BAD_GATEWAY;
  }
}

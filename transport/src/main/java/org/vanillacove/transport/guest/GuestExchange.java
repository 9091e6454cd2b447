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

/** One request of a guest from its arrival to its answer, over all attempts. */
final class GuestExchange {
  /** Pause before another attempt. */
  private static final Backoff BACKOFF = Backoff.exponential(5, 200).withJitter(0.5);

  /** Decides where the request runs. */
  private final RequestRouter router;

  /** Sends it there. */
  private final BackendClient client;

  /** Source of time. */
  private final TimerService timer;

  /** Context of the guest's request. */
  private final ServiceRequestContext context;

  /** The request. */
  private final GuestRequest guest;

  /** Gives the request to send, for its headers. */
  private final Function<RequestHeaders, HttpRequest> body;

  /** What the guest gets. */
  private final CompletableFuture<HttpResponse> result = new CompletableFuture<>();

  /** Attempts so far. */
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

  /** Starts the first attempt and returns the answer. */
  CompletableFuture<HttpResponse> start() {
    attempt(guest.routed());
    return result;
  }

  private void attempt(RoutedRequest request) {
    CompletableFuture<Admission> admission = router.admit(request);
    CompletableFuture<Void> cancelled = context.whenRequestCancelling().thenAccept(cause -> {});
    cancelled.thenRun(() -> admission.complete(new Admission.Refused("the guest went away", 0)));
    admission.thenAccept(granted -> context.eventLoop().execute(() -> admitted(request, granted)));
  }

  private void admitted(RoutedRequest request, Admission admission) {
    switch (admission) {
      case Admission.Granted granted -> send(request, granted.hold());
      case Admission.Refused refused ->
          result.complete(
              GuestAnswers.notRun(
                  HttpStatus.SERVICE_UNAVAILABLE, refused.reason(), refused.retryAfterMillis()));
    }
  }

  private void send(RoutedRequest request, SlotHold hold) {
    Optional<ListedHost> backend = router.backend(hold.backendId());
    long remaining = request.deadlineMillis() - timer.monotonicMillis();
    if (backend.isEmpty() || remaining <= 0 || context.isCancelled()) {
      router.abandon(hold);
      result.complete(
          GuestAnswers.notRun(HttpStatus.SERVICE_UNAVAILABLE, "the backend server is gone", 1));
      return;
    }
    attempts++;
    RequestHeaders headers =
        GuestAnswers.towardsBackend(context.request().headers(), request.id(), remaining);
    long started = timer.monotonicMillis();
    HttpRequest outgoing = body.apply(headers);
    client
        .send(backend.get(), outgoing, remaining)
        .thenAccept(attempt -> answered(request, hold, started, attempt));
  }

  private void answered(
      RoutedRequest request, SlotHold hold, long started, BackendClient.Attempt attempt) {
    switch (attempt.answer()) {
      case BackendAnswer.Whole whole -> {
        ResponseHeaders headers = whole.response().headers();
        end(request, hold, started, new RequestOutcome.Answered(headers.status().code()));
        result.complete(
            HttpResponse.of(GuestAnswers.towardsGuest(headers), whole.response().content()));
      }
      case BackendAnswer.Streaming streaming -> stream(request, hold, started, streaming);
      case BackendAnswer.Failed failed -> {
        end(request, hold, started, failed.outcome());
        again(request, hold.backendId(), failed.outcome());
      }
    }
  }

  private void stream(
      RoutedRequest request, SlotHold hold, long started, BackendAnswer.Streaming streaming) {
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
                end(request, hold, started, outcome);
              }
            });
    HttpResponse response = HttpResponse.of(GuestAnswers.towardsGuest(headers), streaming.body());
    if (!result.complete(response)) {
      streaming.body().abort();
    }
  }

  private void end(RoutedRequest request, SlotHold hold, long started, RequestOutcome outcome) {
    router.finish(hold, request, outcome, timer.monotonicMillis() - started);
  }

  private void again(RoutedRequest request, String backendId, RequestOutcome outcome) {
    Optional<RoutedRequest> next =
        guest.mayRepeat() ? router.retry(request, outcome, backendId) : Optional.empty();
    if (next.isPresent() && !context.isCancelled()) {
      long pause = Math.max(0, BACKOFF.nextDelayMillis(attempts));
      context.eventLoop().schedule(() -> attempt(next.get()), pause, TimeUnit.MILLISECONDS);
      return;
    }
    HttpResponse response =
        switch (outcome) {
          case RequestOutcome.NotRun notRun ->
              GuestAnswers.notRun(HttpStatus.SERVICE_UNAVAILABLE, notRun.reason(), 1_000);
          case RequestOutcome.Unknown unknown ->
              GuestAnswers.unknown(statusOf(request), unknown.reason());
          case RequestOutcome.Answered answered ->
              GuestAnswers.unknown(HttpStatus.BAD_GATEWAY, "no answer to pass on");
        };
    result.complete(response);
  }

  private HttpStatus statusOf(RoutedRequest request) {
    boolean late = timer.monotonicMillis() >= request.deadlineMillis();
    return late ? HttpStatus.GATEWAY_TIMEOUT : HttpStatus.BAD_GATEWAY;
  }
}

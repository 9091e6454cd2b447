package org.vanillacove.transport.guest;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.vanillacove.coordination.routing.IdempotencyKeyRegister;
import org.vanillacove.coordination.routing.KeyDecision;

/** Ensures that a request with an idempotency key runs at most once. */
final class IdempotencyKeyGuard {
  /** Outcomes of keys, shared by all entry hosts of the cell. */
  private final IdempotencyKeyRegister register;

  IdempotencyKeyGuard(IdempotencyKeyRegister register) {
    this.register = register;
  }

  /** Runs a request unless the register shows that its key has run or may have run. */
  CompletableFuture<HttpResponse> guard(
      GuestRequest guest, Supplier<CompletableFuture<HttpResponse>> run) {
    if (guest.key().isEmpty() || guest.routed().idempotent()) {
      return repeatedWithoutKey(guest) ? unknownRepeat() : run.get();
    }
    String key = guest.key().get();
    String id = guest.routed().id();
    return register
        .begin(key, id, guest.repeated())
        .thenCompose(decision -> decide(decision, key, id, run));
  }

  private static boolean repeatedWithoutKey(GuestRequest guest) {
    return guest.repeated() && !guest.routed().idempotent();
  }

  private static CompletableFuture<HttpResponse> unknownRepeat() {
    return CompletableFuture.completedFuture(
        GuestResponses.unknown(HttpStatus.CONFLICT, "a repeated attempt needs a key"));
  }

  private CompletableFuture<HttpResponse> decide(
      KeyDecision decision, String key, String id, Supplier<CompletableFuture<HttpResponse>> run) {
    return switch (decision) {
      case KeyDecision.First first ->
          run.get().thenApply(response -> recordOutcome(response, key, id));
      case KeyDecision.AlreadyRun done ->
          CompletableFuture.completedFuture(GuestResponses.alreadyRun("this key ran already"));
      case KeyDecision.Undecided undecided ->
          CompletableFuture.completedFuture(
              GuestResponses.unknown(HttpStatus.CONFLICT, undecided.reason()));
      case KeyDecision.Unavailable unavailable ->
          CompletableFuture.completedFuture(
              GuestResponses.notRun(HttpStatus.SERVICE_UNAVAILABLE, unavailable.reason(), 1_000));
    };
  }

  private HttpResponse recordOutcome(HttpResponse response, String key, String id) {
    return response.mapHeaders(
        headers -> {
          register.end(key, id, outcomeOf(headers));
          return headers;
        });
  }

  private static IdempotencyKeyRegister.KeyOutcome outcomeOf(ResponseHeaders headers) {
    return switch (headers.get(GuestHeaders.OUTCOME, GuestHeaders.UNKNOWN)) {
      case GuestHeaders.RUN -> IdempotencyKeyRegister.KeyOutcome.RUN;
      case GuestHeaders.NOT_RUN -> IdempotencyKeyRegister.KeyOutcome.NOT_RUN;
      default -> IdempotencyKeyRegister.KeyOutcome.UNKNOWN;
    };
  }
}

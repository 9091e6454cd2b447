package org.vanillacove.transport.platform;

import com.google.common.base.Throwables;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientRequestContext;
import com.linecorp.armeria.client.ClientRequestContextCaptor;
import com.linecorp.armeria.client.Clients;
import com.linecorp.armeria.client.ResponseTimeoutException;
import com.linecorp.armeria.client.ResponseTimeoutMode;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.TimeoutException;
import com.linecorp.armeria.common.logging.RequestLogProperty;
import com.linecorp.armeria.common.util.Exceptions;
import io.netty.channel.Channel;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Makes HTTP calls with deadlines and classifies their outcomes. A connection on which a call timed
 * out may be unresponsive, so it is passed to the {@link TimeoutHandler}.
 */
final class HttpCaller {
  /** Maximum size of a response, in bytes. */
  static final long MAX_RESPONSE_BYTES = 32L << 20;

  /** Notified of connections on which a call timed out. */
  private final TimeoutHandler timeoutHandler;

  HttpCaller(TimeoutHandler timeoutHandler) {
    this.timeoutHandler = timeoutHandler;
  }

  /** Handles connections that may be unresponsive. */
  @FunctionalInterface
  interface TimeoutHandler {
    /** Handles the connection of a call that timed out. */
    void handleTimeout(Channel channel);
  }

  /** Returns a client for {@code uri} whose calls time out after {@code deadline}. */
  static WebClient newClient(ClientFactory factory, String uri, Duration deadline) {
    return WebClient.builder(uri)
        .factory(factory)
        .responseTimeout(deadline)
        .responseTimeoutMode(ResponseTimeoutMode.FROM_START)
        .maxResponseLength(MAX_RESPONSE_BYTES)
        .build();
  }

  /** Makes a call; failures are reported as outcomes, the future never fails. */
  CompletableFuture<HttpCallOutcome> call(WebClient client, HttpRequest request) {
    try (ClientRequestContextCaptor captor = Clients.newContextCaptor()) {
      HttpResponse response = client.execute(request);
      ClientRequestContext context = captor.getOrNull();
      return response
          .aggregate()
          .handle(
              (aggregated, error) ->
                  error == null
                      ? new HttpCallOutcome.Responded(aggregated)
                      : outcomeOf(Exceptions.peel(error), context));
    }
  }

  private HttpCallOutcome outcomeOf(Throwable error, ClientRequestContext context) {
    if (error instanceof TimeoutException && context != null) {
      reportTimeout(context);
    }
    String reason = describe(error);
    return error instanceof UnprocessedRequestException
        ? new HttpCallOutcome.NotSent(reason)
        : new HttpCallOutcome.NoResponse(reason);
  }

  private void reportTimeout(ClientRequestContext context) {
    if (context.log().isAvailable(RequestLogProperty.SESSION)) {
      Channel channel = context.log().partial().channel();
      if (channel != null) {
        timeoutHandler.handleTimeout(channel);
      }
    }
  }

  private static String describe(Throwable error) {
    Throwable root = Throwables.getRootCause(error);
    String text =
        root instanceof ResponseTimeoutException ? "response timed out" : root.getMessage();
    return text == null ? root.getClass().getSimpleName() : text;
  }
}

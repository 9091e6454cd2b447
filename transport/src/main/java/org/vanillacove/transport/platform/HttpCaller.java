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
 * Makes HTTP calls with deadlines and tells their outcomes apart. A connection on which a call
 * timed out may have gone silent, so it is handed to the {@link SilenceHandler}.
 */
final class HttpCaller {
  /** Largest answer accepted, in bytes. */
  static final long MAX_RESPONSE_BYTES = 32L << 20;

  /** What to do with a connection on which a call timed out. */
  private final SilenceHandler silenceHandler;

  HttpCaller(SilenceHandler silenceHandler) {
    this.silenceHandler = silenceHandler;
  }

  /** Handles connections that may have gone silent. */
  @FunctionalInterface
  interface SilenceHandler {
    /** Handles the connection of a call that got no answer within its deadline. */
    void handleSilence(Channel channel);
  }

  /** Returns a client for {@code uri} whose calls end within {@code deadline}. */
  static WebClient newClient(ClientFactory factory, String uri, Duration deadline) {
    return WebClient.builder(uri)
        .factory(factory)
        .responseTimeout(deadline)
        .responseTimeoutMode(ResponseTimeoutMode.FROM_START)
        .maxResponseLength(MAX_RESPONSE_BYTES)
        .build();
  }

  /** Makes a call; the future always completes normally. */
  CompletableFuture<HttpCallOutcome> call(WebClient client, HttpRequest request) {
    try (ClientRequestContextCaptor captor = Clients.newContextCaptor()) {
      HttpResponse response = client.execute(request);
      ClientRequestContext context = captor.getOrNull();
      return response
          .aggregate()
          .handle(
              (answer, error) ->
                  error == null
                      ? new HttpCallOutcome.Answered(answer)
                      : outcomeOf(Exceptions.peel(error), context));
    }
  }

  private HttpCallOutcome outcomeOf(Throwable error, ClientRequestContext context) {
    if (error instanceof TimeoutException && context != null) {
      reportSilence(context);
    }
    String reason = describe(error);
    return error instanceof UnprocessedRequestException
        ? new HttpCallOutcome.NotSent(reason)
        : new HttpCallOutcome.NoAnswer(reason);
  }

  private void reportSilence(ClientRequestContext context) {
    if (context.log().isAvailable(RequestLogProperty.SESSION)) {
      Channel channel = context.log().partial().channel();
      if (channel != null) {
        silenceHandler.handleSilence(channel);
      }
    }
  }

  private static String describe(Throwable error) {
    Throwable root = Throwables.getRootCause(error);
    String text =
        root instanceof ResponseTimeoutException ? "no answer in time" : root.getMessage();
    return text == null ? root.getClass().getSimpleName() : text;
  }
}

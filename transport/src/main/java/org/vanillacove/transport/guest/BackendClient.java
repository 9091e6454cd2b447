package org.vanillacove.transport.guest;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.client.ResponseTimeoutMode;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.SessionProtocol;
import com.linecorp.armeria.common.SplitHttpResponse;
import com.linecorp.armeria.common.stream.StreamMessage;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.vanillacove.coordination.routing.BackendOccupancy;
import org.vanillacove.coordination.routing.RequestOutcome;
import org.vanillacove.protocol.platform.ListedHost;

/**
 * Sends requests to backend servers and distinguishes requests that certainly did not run from
 * those that may have run. Idle connections are probed and replaced when a probe is not answered.
 * Thread-safe.
 */
public final class BackendClient implements BackendOccupancy, AutoCloseable {
  /** Optional path where a backend server reports the number of requests that it is running. */
  private static final String OCCUPANCY_PATH = "/vanillacove/running";

  /** Timeout for reading the number of running requests, in milliseconds. */
  private static final long OCCUPANCY_TIMEOUT_MILLIS = 1_000;

  /** Sizes and timeouts of connections and responses. */
  private final GuestLimits limits;

  /** Protocol used to connect to backend servers. */
  private final SessionProtocol protocol;

  /** Connection pool shared by the clients of all backend servers. */
  private final ClientFactory factory;

  /** HTTP clients by the address of their backend server. */
  private final Map<String, WebClient> clients = new ConcurrentHashMap<>();

  /**
   * Creates a client without connections.
   *
   * @param protocol protocol used to connect to backend servers; {@code HTTP} negotiates HTTP/2
   */
  public BackendClient(GuestLimits limits, SessionProtocol protocol) {
    this.limits = limits;
    this.protocol = protocol;
    this.factory =
        ClientFactory.builder()
            .connectTimeout(limits.connectTimeout())
            .pingInterval(limits.pingInterval())
            .maxNumEventLoopsPerEndpoint(1)
            .maxNumEventLoopsPerHttp1Endpoint(1)
            .build();
  }

  /** Sends a request; the future never completes exceptionally. */
  CompletableFuture<Attempt> send(ListedHost backend, HttpRequest request, long timeoutMillis) {
    RequestOptions options =
        RequestOptions.builder()
            .responseTimeoutMillis(Math.max(1, timeoutMillis))
            .responseTimeoutMode(ResponseTimeoutMode.FROM_START)
            .maxResponseLength(0)
            .build();
    HttpResponse response = client(backend).execute(request, options);
    SplitHttpResponse split = response.split();
    String requestId = request.headers().get(GuestHeaders.REQUEST_ID, "");
    return split
        .headers()
        .handle(
            (headers, error) ->
                error == null
                    ? classify(headers, split.body(), requestId)
                    : CompletableFuture.completedFuture(failed(error)))
        .thenCompose(answer -> answer)
        .thenApply(answer -> new Attempt(answer, response));
  }

  /**
   * An attempt to run a request on a backend server.
   *
   * @param answer result of the attempt
   * @param response the underlying exchange, to be aborted if the guest disconnects
   */
  record Attempt(BackendResponse answer, HttpResponse response) {}

  @Override
  public CompletableFuture<OptionalInt> runningRequests(ListedHost backend) {
    RequestOptions options =
        RequestOptions.builder().responseTimeoutMillis(OCCUPANCY_TIMEOUT_MILLIS).build();
    return client(backend)
        .execute(HttpRequest.of(HttpMethod.GET, OCCUPANCY_PATH), options)
        .aggregate()
        .handle((response, error) -> error == null ? parseCount(response) : OptionalInt.empty());
  }

  @Override
  public void close() {
    factory.close();
  }

  /** Classifies a failure as "not run" only if the request was certainly not sent. */
  static RequestOutcome outcomeOf(Throwable error) {
    for (Throwable each = error; each != null; each = each.getCause()) {
      if (each instanceof UnprocessedRequestException) {
        Throwable cause = each.getCause() == null ? each : each.getCause();
        return new RequestOutcome.NotRun("not sent: " + cause.getClass().getSimpleName());
      }
    }
    return new RequestOutcome.Unknown("no whole answer: " + error.getClass().getSimpleName());
  }

  private WebClient client(ListedHost backend) {
    return clients.computeIfAbsent(
        backend.address(),
        address ->
            WebClient.builder(protocol.uriText() + "://" + address).factory(factory).build());
  }

  private CompletableFuture<BackendResponse> classify(
      ResponseHeaders headers, StreamMessage<HttpData> body, String requestId) {
    boolean refused =
        headers.status().equals(HttpStatus.SERVICE_UNAVAILABLE)
            && GuestHeaders.NOT_RUN.equals(headers.get(GuestHeaders.OUTCOME));
    if (refused) {
      body.abort();
      return failedWith(new RequestOutcome.NotRun("refused by the backend server"));
    }
    if (!headers.get(GuestHeaders.REQUEST_ID, requestId).equals(requestId)) {
      body.abort();
      return failedWith(new RequestOutcome.Unknown("answer to another request"));
    }
    long length = headers.contentLength();
    if (length > limits.maxReplayBytes() || (length < 0 && !headers.isEndOfStream())) {
      BackendResponse streaming = new BackendResponse.Streaming(headers, body);
      return CompletableFuture.completedFuture(streaming);
    }
    return body.collect().handle((pieces, error) -> complete(headers, pieces, error));
  }

  private static BackendResponse complete(
      ResponseHeaders headers, List<HttpData> pieces, Throwable error) {
    if (error != null) {
      return new BackendResponse.Failed(new RequestOutcome.Unknown("truncated answer"));
    }
    HttpData content = concatenate(pieces);
    return new BackendResponse.Complete(AggregatedHttpResponse.of(headers, content));
  }

  private static HttpData concatenate(List<HttpData> pieces) {
    if (pieces.size() == 1) {
      return pieces.getFirst();
    }
    int length = pieces.stream().mapToInt(HttpData::length).sum();
    byte[] bytes = new byte[length];
    int at = 0;
    for (HttpData piece : pieces) {
      System.arraycopy(piece.array(), 0, bytes, at, piece.length());
      at += piece.length();
    }
    return HttpData.wrap(bytes);
  }

  private static BackendResponse failed(Throwable error) {
    return new BackendResponse.Failed(outcomeOf(error));
  }

  private static CompletableFuture<BackendResponse> failedWith(RequestOutcome outcome) {
    return CompletableFuture.completedFuture(new BackendResponse.Failed(outcome));
  }

  private static OptionalInt parseCount(AggregatedHttpResponse response) {
    String text = response.contentUtf8().strip();
    boolean number = response.status().isSuccess() && text.matches("\\d{1,6}");
    return number ? OptionalInt.of(Integer.parseInt(text)) : OptionalInt.empty();
  }
}

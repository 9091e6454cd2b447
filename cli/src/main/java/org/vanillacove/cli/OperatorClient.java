package org.vanillacove.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.base.Throwables;
import com.google.common.net.HostAndPort;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.client.WebClientBuilder;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import java.io.File;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import javax.net.ssl.SSLException;
import org.vanillacove.transport.operator.message.OperatorJson;

/** Sends requests to the operator API of an entry host. */
final class OperatorClient implements AutoCloseable {
  /** Path prefix of all resources. */
  private static final String PREFIX = "/api/v1";

  /** Response timeout; above the request timeout of the host. */
  private static final Duration TIMEOUT = Duration.ofSeconds(70);

  /** Timeout for opening a TLS connection. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);

  /** Maximum size of a response, in bytes. */
  private static final long MAX_ANSWER_BYTES = 64L << 20;

  /** Owns the connections. */
  private final ClientFactory factory;

  /** HTTP client for the address of the host. */
  private final WebClient client;

  /** Bearer token, empty to send none. */
  private final Optional<String> token;

  /** Creates a client that uses TLS if {@code trusted} names a file of certificates. */
  OperatorClient(HostAndPort server, Optional<String> token, Optional<File> trusted) {
    this.token = token;
    this.factory = trusted.map(OperatorClient::secureFactory).orElseGet(ClientFactory::ofDefault);
    WebClientBuilder web =
        WebClient.builder((trusted.isPresent() ? "https://" : "http://") + server);
    this.client =
        web.factory(factory).responseTimeout(TIMEOUT).maxResponseLength(MAX_ANSWER_BYTES).build();
  }

  /** Sends a GET request. */
  ClientOutcome get(String path) {
    return send(HttpMethod.GET, path, "");
  }

  /** Sends a PUT request with a JSON body. */
  ClientOutcome put(String path, String body) {
    return send(HttpMethod.PUT, path, body);
  }

  /** Sends a POST request with a JSON body. */
  ClientOutcome post(String path, String body) {
    return send(HttpMethod.POST, path, body);
  }

  /** Sends a DELETE request. */
  ClientOutcome delete(String path) {
    return send(HttpMethod.DELETE, path, "");
  }

  @Override
  public void close() {
    factory.closeAsync();
  }

  private static ClientFactory secureFactory(File trusted) {
    return ClientFactory.builder()
        .connectTimeout(CONNECT_TIMEOUT)
        .tlsCustomizer(tls -> tls.trustManager(trusted))
        .build();
  }

  private ClientOutcome send(HttpMethod method, String path, String body) {
    RequestHeadersBuilder headers = RequestHeaders.builder(method, PREFIX + path);
    token.ifPresent(text -> headers.set(HttpHeaderNames.AUTHORIZATION, "Bearer " + text));
    if (!body.isEmpty()) {
      headers.contentType(MediaType.JSON);
    }
    try {
      AggregatedHttpResponse answer =
          client.execute(HttpRequest.of(headers.build(), HttpData.ofUtf8(body))).aggregate().join();
      return parse(answer);
    } catch (CompletionException e) {
      return failed(Throwables.getRootCause(e), e.getCause());
    }
  }

  private static ClientOutcome parse(AggregatedHttpResponse answer) {
    try {
      return new ClientOutcome.Answered(
          answer.status().code(), OperatorJson.MAPPER.readTree(answer.contentUtf8()));
    } catch (JsonProcessingException e) {
      return new ClientOutcome.NoResponse(
          "status " + answer.status() + " with a body that is not JSON");
    }
  }

  private static ClientOutcome failed(Throwable root, Throwable cause) {
    String reason = root.getClass().getSimpleName() + ": " + root.getMessage();
    boolean notSent =
        cause instanceof UnprocessedRequestException
            || root instanceof ConnectException
            || root instanceof SSLException;
    return notSent ? new ClientOutcome.NotSent(reason) : new ClientOutcome.NoResponse(reason);
  }
}

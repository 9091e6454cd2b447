package org.vanillacove.transport.platform;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.MediaType;
import io.netty.channel.Channel;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.vanillacove.protocol.codec.PlatformListCodec;
import org.vanillacove.protocol.codec.WorkerMessageCodec;
import org.vanillacove.protocol.platform.WorkerCommand;
import org.vanillacove.protocol.platform.WorkerGateway;
import org.vanillacove.protocol.platform.WorkerReply;
import org.vanillacove.state.api.WorkerSpec;

/**
 * Sends commands to workers at their own addresses and fetches the worker list from the platform,
 * both over HTTP. A connection on which a command timed out is closed, so that the next command
 * uses a new one. Thread-safe.
 */
public final class HttpWorkerGateway implements WorkerGateway, AutoCloseable {
  /** Logger of unresponsive workers and malformed worker lists. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Path of the worker list on the platform. */
  private static final String WORKERS_PATH = "/v1/workers";

  /** Path on a worker that accepts commands. */
  private static final String COMMANDS_PATH = "/v1/commands";

  /** Time after which an unused connection to a worker is closed. */
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

  /** Minimum time between two log lines of the same kind, in seconds. */
  private static final int LOG_INTERVAL_SECONDS = 10;

  /** HTTP client of the platform, for the worker list. */
  private final PlatformClient platform;

  /** Timeout of each command. */
  private final Duration deadline;

  /** Connection pool of all workers. */
  private final ClientFactory factory;

  /** HTTP clients by worker address; those of unlisted workers are removed. */
  private final Map<String, WebClient> clients = new ConcurrentHashMap<>();

  /** Makes the calls to workers. */
  private final HttpCaller caller = new HttpCaller(HttpWorkerGateway::closeUnresponsive);

  /**
   * Creates a gateway.
   *
   * @param platform client of the platform, for the worker list
   * @param deadline timeout of each command
   */
  public HttpWorkerGateway(PlatformClient platform, Duration deadline) {
    this.platform = platform;
    this.deadline = deadline;
    factory =
        ClientFactory.builder()
            .connectTimeout(deadline.dividedBy(2))
            .idleTimeout(IDLE_TIMEOUT)
            .build();
  }

  @Override
  public CompletableFuture<WorkerReply> send(WorkerSpec worker, WorkerCommand command) {
    WebClient client =
        clients.computeIfAbsent(
            worker.address(),
            address -> HttpCaller.newClient(factory, "http://" + address, deadline));
    byte[] body = WorkerMessageCodec.encodeCommand(command);
    return caller
        .call(client, HttpRequest.of(HttpMethod.POST, COMMANDS_PATH, MediaType.PROTOBUF, body))
        .thenApply(HttpWorkerGateway::toReply);
  }

  @Override
  public CompletableFuture<Optional<List<WorkerSpec>>> listWorkers() {
    return platform
        .call(HttpRequest.of(HttpMethod.GET, WORKERS_PATH))
        .thenApply(HttpWorkerGateway::parseWorkers)
        .whenComplete((workers, error) -> workers.ifPresent(this::removeUnlistedClients));
  }

  /** Closes all connections to workers; pending commands end with an unknown outcome. */
  @Override
  public void close() {
    factory.closeAsync();
  }

  private void removeUnlistedClients(List<WorkerSpec> workers) {
    clients.keySet().retainAll(workers.stream().map(WorkerSpec::address).toList());
  }

  private static void closeUnresponsive(Channel channel) {
    LOG.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
        "platform: command to worker at %s timed out, closing the connection",
        channel.remoteAddress());
    channel.close();
  }

  private static WorkerReply toReply(HttpCallOutcome outcome) {
    return switch (outcome) {
      case HttpCallOutcome.Responded responded when responded.isOk() -> parseReply(responded);
      case HttpCallOutcome.Responded responded when responded.isRefusal() ->
          new WorkerReply.Refused(responded.reason());
      case HttpCallOutcome.Responded responded -> new WorkerReply.Unknown(responded.reason());
      case HttpCallOutcome.NotSent notSent -> new WorkerReply.Refused(notSent.reason());
      case HttpCallOutcome.NoResponse noResponse -> new WorkerReply.Unknown(noResponse.reason());
    };
  }

  private static WorkerReply parseReply(HttpCallOutcome.Responded responded) {
    try {
      return WorkerMessageCodec.decodeReply(responded.body().toByteArray());
    } catch (InvalidProtocolBufferException e) {
      return new WorkerReply.Unknown("malformed response: " + e.getMessage());
    }
  }

  private static Optional<List<WorkerSpec>> parseWorkers(HttpCallOutcome outcome) {
    if (outcome instanceof HttpCallOutcome.Responded responded && responded.isOk()) {
      try {
        return Optional.of(PlatformListCodec.decodeWorkers(responded.body().toByteArray()));
      } catch (IOException e) {
        LOG.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
            "platform: malformed worker list: %s", e.getMessage());
      }
    }
    return Optional.empty();
  }
}

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
 * Workers over HTTP: commands go to a worker's own address, the list comes from the platform. A
 * connection on which a command got no answer in time is closed, so that the next command uses a
 * new one. Thread-safe.
 */
public final class HttpWorkerGateway implements WorkerGateway, AutoCloseable {
  /** Log of faults of workers. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Path of the worker list at the platform. */
  private static final String WORKERS_PATH = "/v1/workers";

  /** Path of commands at a worker. */
  private static final String COMMANDS_PATH = "/v1/commands";

  /** Time after which an unused connection to a worker is closed. */
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

  /** Shortest time between two log lines of the same kind, in seconds. */
  private static final int LOG_INTERVAL_SECONDS = 10;

  /** Calls the platform. */
  private final PlatformClient platform;

  /** Time within which each command ends. */
  private final Duration deadline;

  /** Connections to workers. */
  private final ClientFactory factory;

  /** Clients by address of the worker. */
  private final Map<String, WebClient> clients = new ConcurrentHashMap<>();

  /** Makes calls. */
  private final HttpCaller caller = new HttpCaller(HttpWorkerGateway::closeSilent);

  /**
   * Creates a gateway.
   *
   * @param platform calls the platform for the worker list
   * @param deadline time within which each command ends
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
        .thenApply(HttpWorkerGateway::replyIn);
  }

  @Override
  public CompletableFuture<Optional<List<WorkerSpec>>> listWorkers() {
    return platform
        .call(HttpRequest.of(HttpMethod.GET, WORKERS_PATH))
        .thenApply(HttpWorkerGateway::workersIn)
        .whenComplete((workers, error) -> workers.ifPresent(this::forgetOthers));
  }

  /** Closes all connections to workers; commands that still wait end without an answer. */
  @Override
  public void close() {
    factory.closeAsync();
  }

  private void forgetOthers(List<WorkerSpec> workers) {
    clients.keySet().retainAll(workers.stream().map(WorkerSpec::address).toList());
  }

  private static void closeSilent(Channel channel) {
    LOG.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
        "platform: no answer from worker at %s, closing the connection", channel.remoteAddress());
    channel.close();
  }

  private static WorkerReply replyIn(HttpCallOutcome outcome) {
    return switch (outcome) {
      case HttpCallOutcome.Answered answered when answered.isOk() -> decode(answered);
      case HttpCallOutcome.Answered answered when answered.isRefusal() ->
          new WorkerReply.Refused(answered.reason());
      case HttpCallOutcome.Answered answered -> new WorkerReply.Unknown(answered.reason());
      case HttpCallOutcome.NotSent notSent -> new WorkerReply.Refused(notSent.reason());
      case HttpCallOutcome.NoAnswer noAnswer -> new WorkerReply.Unknown(noAnswer.reason());
    };
  }

  private static WorkerReply decode(HttpCallOutcome.Answered answered) {
    try {
      return WorkerMessageCodec.decodeReply(answered.body().toByteArray());
    } catch (InvalidProtocolBufferException e) {
      return new WorkerReply.Unknown("malformed answer: " + e.getMessage());
    }
  }

  private static Optional<List<WorkerSpec>> workersIn(HttpCallOutcome outcome) {
    if (outcome instanceof HttpCallOutcome.Answered answered && answered.isOk()) {
      try {
        return Optional.of(PlatformListCodec.decodeWorkers(answered.body().toByteArray()));
      } catch (IOException e) {
        LOG.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
            "platform: malformed worker list: %s", e.getMessage());
      }
    }
    return Optional.empty();
  }
}

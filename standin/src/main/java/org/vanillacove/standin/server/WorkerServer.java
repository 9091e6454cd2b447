package org.vanillacove.standin.server;

import com.google.protobuf.InvalidProtocolBufferException;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Function;
import org.vanillacove.protocol.codec.WorkerMessageCodec;
import org.vanillacove.protocol.platform.WorkerCommand;
import org.vanillacove.standin.memory.WorkerModel;

/** Accepts commands over HTTP and passes them to a worker model; thread-safe. */
public final class WorkerServer implements AutoCloseable {
  /** Loopback address on which the server listens. */
  private static final String LISTEN_HOST = "127.0.0.1";

  /** Faults injected into the handling of commands. */
  private final FaultSwitch faults = new FaultSwitch();

  /** HTTP server that accepts commands. */
  private final Server server;

  /** Worker that carries out the commands. */
  private final WorkerModel model;

  /**
   * Starts a worker.
   *
   * @param port port to listen on, zero selects a free port
   * @param factory creates the worker model from the server's address (host:port)
   */
  public WorkerServer(int port, Function<String, WorkerModel> factory) {
    server =
        Server.builder()
            .http(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
            .requestTimeout(Duration.ZERO)
            .route()
            .post("/v1/commands")
            .build(
                (context, request) ->
                    HttpResponse.of(
                        request.aggregate().thenApply(whole -> respond(context, whole))))
            .build();
    server.start().join();
    model = factory.apply(address());
  }

  /** Returns the address of the server as host:port. */
  public String address() {
    return LISTEN_HOST + ":" + server.activeLocalPort();
  }

  /** Returns the worker that carries out the commands. */
  public WorkerModel model() {
    return model;
  }

  /** Returns the switch for faults in the handling of commands. */
  public FaultSwitch faults() {
    return faults;
  }

  /** Closes the server in the background, with its port; the worker model keeps its tasks. */
  @Override
  public void close() {
    server.closeAsync();
  }

  private HttpResponse respond(ServiceRequestContext context, AggregatedHttpRequest request) {
    try {
      WorkerCommand command = WorkerMessageCodec.decodeCommand(request.content().array());
      return faults.respond(context, () -> handle(command));
    } catch (InvalidProtocolBufferException e) {
      return FaultSwitch.refusal(HttpStatus.BAD_REQUEST, "body: " + e.getMessage());
    }
  }

  private HttpResponse handle(WorkerCommand command) {
    return WorkerMessageCodec.encodeReply(model.handle(command))
        .map(body -> HttpResponse.of(HttpStatus.OK, MediaType.PROTOBUF, body))
        .orElseGet(() -> HttpResponse.of(HttpStatus.INTERNAL_SERVER_ERROR));
  }
}

package org.vanillacove.standin.server;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.QueryParams;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.vanillacove.protocol.codec.PlatformListCodec;
import org.vanillacove.protocol.generated.LogAppendRequest;
import org.vanillacove.protocol.generated.LogAppendResponse;
import org.vanillacove.protocol.generated.LogReadResponse;
import org.vanillacove.protocol.platform.AppendOutcome;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.protocol.platform.ReadOutcome;
import org.vanillacove.standin.memory.MemoryLog;
import org.vanillacove.state.api.WorkerSpec;

/**
 * Serves the platform's log, host list and worker list from memory over HTTP. Other processes set
 * faults by {@code PUT /v1/faults/(log|hosts|workers)?mode=MODE&delayMillis=N} and the host list by
 * {@code PUT /v1/hosts}. Thread-safe.
 */
public final class PlatformServer implements AutoCloseable {
  /** Loopback address on which the server listens. */
  private static final String LISTEN_HOST = "127.0.0.1";

  /** Maximum size of a request in bytes. */
  private static final long MAX_REQUEST_BYTES = 32L << 20;

  /** Maximum number of records returned by a read that gives no limit. */
  private static final int DEFAULT_READ_LIMIT = 1_000;

  /** Log that is served. */
  private final MemoryLog log;

  /** Number of newest records that are retained after each append. */
  private final long retainedRecords;

  /** Faults injected into the log. */
  private final FaultSwitch logFaults = new FaultSwitch();

  /** Faults injected into the host list. */
  private final FaultSwitch hostFaults = new FaultSwitch();

  /** Faults injected into the worker list. */
  private final FaultSwitch workerFaults = new FaultSwitch();

  /** HTTP server of all routes. */
  private final Server server;

  /** Host list that is served. */
  private volatile List<ListedHost> hosts = List.of();

  /** Worker list that is served. */
  private volatile List<WorkerSpec> workers = List.of();

  /** Starts a server that retains all records; port zero selects a free port. */
  public PlatformServer(int port, MemoryLog log) {
    this(port, log, Long.MAX_VALUE);
  }

  /** Starts a server that retains {@code retainedRecords}; port zero selects a free port. */
  public PlatformServer(int port, MemoryLog log, long retainedRecords) {
    this.log = log;
    this.retainedRecords = retainedRecords;
    server =
        Server.builder()
            .http(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
            .requestTimeout(Duration.ZERO)
            .maxRequestLength(MAX_REQUEST_BYTES)
            .route()
            .post("/v1/log/records")
            .build((context, request) -> aggregated(request, body -> serveAppend(context, body)))
            .route()
            .get("/v1/log/records")
            .build((context, request) -> logFaults.respond(context, () -> read(context)))
            .route()
            .get("/v1/hosts")
            .build(
                (context, request) ->
                    hostFaults.respond(context, () -> json(PlatformListCodec.encodeHosts(hosts))))
            .route()
            .put("/v1/hosts")
            .build((context, request) -> aggregated(request, this::replaceHosts))
            .route()
            .get("/v1/workers")
            .build(
                (context, request) ->
                    workerFaults.respond(
                        context, () -> json(PlatformListCodec.encodeWorkers(workers))))
            .route()
            .put("/v1/faults/{target}")
            .build((context, request) -> setFault(context))
            .build();
    server.start().join();
  }

  /** Returns the address of the server as host:port. */
  public String address() {
    return LISTEN_HOST + ":" + server.activeLocalPort();
  }

  /** Replaces the host list. */
  public void setHosts(List<ListedHost> newHosts) {
    hosts = List.copyOf(newHosts);
  }

  /** Replaces the worker list. */
  public void setWorkers(List<WorkerSpec> newWorkers) {
    workers = List.copyOf(newWorkers);
  }

  /** Returns the fault switch of the log. */
  public FaultSwitch logFaults() {
    return logFaults;
  }

  /** Returns the fault switch of the host list. */
  public FaultSwitch hostFaults() {
    return hostFaults;
  }

  /** Returns the fault switch of the worker list. */
  public FaultSwitch workerFaults() {
    return workerFaults;
  }

  /** Closes the server in the background; its port is released shortly afterwards. */
  @Override
  public void close() {
    server.closeAsync();
  }

  private HttpResponse serveAppend(ServiceRequestContext context, AggregatedHttpRequest request) {
    try {
      LogAppendRequest append = LogAppendRequest.parseFrom(request.content().array());
      return logFaults.respond(context, () -> append(append.getRecordsList()));
    } catch (InvalidProtocolBufferException e) {
      return FaultSwitch.refusal(HttpStatus.BAD_REQUEST, "body: " + e.getMessage());
    }
  }

  private HttpResponse append(List<ByteString> records) {
    HttpResponse response =
        switch (log.append(records).join()) {
          case AppendOutcome.Appended appended ->
              protobuf(
                  LogAppendResponse.newBuilder()
                      .setFirstOffset(appended.firstOffset())
                      .build()
                      .toByteArray());
          case AppendOutcome.Refused refused ->
              FaultSwitch.refusal(HttpStatus.SERVICE_UNAVAILABLE, refused.reason());
          case AppendOutcome.Unknown unknown ->
              HttpResponse.of(
                  HttpStatus.SERVICE_UNAVAILABLE, MediaType.PLAIN_TEXT_UTF_8, unknown.reason());
        };
    log.trim(log.endOffset() - retainedRecords);
    return response;
  }

  private HttpResponse read(ServiceRequestContext context) {
    QueryParams query = context.queryParams();
    long from = query.getLong("from", -1);
    int limit = query.getInt("limit", DEFAULT_READ_LIMIT);
    if (from < 0 || limit < 1) {
      return FaultSwitch.refusal(HttpStatus.BAD_REQUEST, "from: must be >= 0; limit: must be >= 1");
    }
    return switch (log.read(from, limit).join()) {
      case ReadOutcome.Batch batch ->
          protobuf(
              LogReadResponse.newBuilder()
                  .setFirstOffset(batch.firstOffset())
                  .addAllRecords(batch.records())
                  .setEndOffset(batch.endOffset())
                  .build()
                  .toByteArray());
      case ReadOutcome.Trimmed trimmed ->
          protobuf(
              LogReadResponse.newBuilder()
                  .setTrimmed(true)
                  .setOldestOffset(trimmed.oldestOffset())
                  .build()
                  .toByteArray());
      case ReadOutcome.Unavailable unavailable ->
          HttpResponse.of(
              HttpStatus.SERVICE_UNAVAILABLE, MediaType.PLAIN_TEXT_UTF_8, unavailable.reason());
    };
  }

  private HttpResponse replaceHosts(AggregatedHttpRequest request) {
    try {
      setHosts(PlatformListCodec.decodeHosts(request.content().array()));
      return HttpResponse.of(HttpStatus.NO_CONTENT);
    } catch (IOException e) {
      return FaultSwitch.refusal(HttpStatus.BAD_REQUEST, e.getMessage());
    }
  }

  private HttpResponse setFault(ServiceRequestContext context) {
    Map<String, FaultSwitch> switches =
        Map.of("log", logFaults, "hosts", hostFaults, "workers", workerFaults);
    FaultSwitch target = switches.get(context.pathParam("target"));
    if (target == null) {
      return FaultSwitch.refusal(HttpStatus.NOT_FOUND, "target: one of " + switches.keySet());
    }
    QueryParams query = context.queryParams();
    String mode = query.get("mode", FaultSwitch.Mode.NONE.name()).toUpperCase(Locale.ROOT);
    try {
      target.setMode(FaultSwitch.Mode.valueOf(mode.replace('-', '_')));
      target.setDelay(Duration.ofMillis(query.getLong("delayMillis", 0)));
      return HttpResponse.of(HttpStatus.NO_CONTENT);
    } catch (IllegalArgumentException e) {
      return FaultSwitch.refusal(HttpStatus.BAD_REQUEST, "mode or delayMillis: " + e.getMessage());
    }
  }

  private static HttpResponse aggregated(HttpRequest request, BodyHandler handler) {
    return HttpResponse.of(request.aggregate().thenApply(handler::handle));
  }

  private static HttpResponse protobuf(byte[] body) {
    return HttpResponse.of(HttpStatus.OK, MediaType.PROTOBUF, body);
  }

  private static HttpResponse json(byte[] body) {
    return HttpResponse.of(HttpStatus.OK, MediaType.JSON, body);
  }

  /** Handles a request whose body was received completely. */
  @FunctionalInterface
  private interface BodyHandler {
    /** Returns the response. */
    HttpResponse handle(AggregatedHttpRequest request);
  }
}

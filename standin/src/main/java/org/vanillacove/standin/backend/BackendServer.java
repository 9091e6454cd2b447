package org.vanillacove.standin.backend;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.state.api.AvailabilityZone;

/**
 * A simulated backend server with a limited number of slots. It counts the runs of each request by
 * its identifier and can be set to fail in the ways of {@link Behaviour}.
 *
 * <p>{@code /work?millis=M&bytes=B} responds after M milliseconds with B bytes, {@code /echo}
 * responds with the request body and {@code /vanillacove/running} with the number of running
 * requests.
 */
public final class BackendServer implements AutoCloseable {
  /** Header of requests and responses that carries the request identifier. */
  public static final String REQUEST_ID = "vanillacove-request-id";

  /** Response header that states whether the request was run. */
  public static final String OUTCOME = "vanillacove-outcome";

  /** Maximum size of one chunk of a response body, in bytes. */
  private static final int CHUNK_BYTES = 8_192;

  /** Identifier in the platform's host list. */
  private final String id;

  /** Availability zone in the platform's host list. */
  private final AvailabilityZone zone;

  /** Maximum number of requests that run at once. */
  private final int slots;

  /** HTTP server on a free port of the loopback address. */
  private final Server server;

  /** Number of runs by request identifier. */
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();

  /** Number of requests that are running. */
  private final AtomicInteger running = new AtomicInteger();

  /** Maximum number of requests that ran at once so far. */
  private final AtomicInteger maxRunning = new AtomicInteger();

  /** Number of requests rejected because all slots were in use. */
  private final AtomicInteger rejectedRequests = new AtomicInteger();

  /** How requests are handled; set by tests. */
  private volatile Behaviour behaviour = Behaviour.NORMAL;

  /** Whether the platform's host list marks this server as leaving. */
  private volatile boolean leaving;

  /** Starts a backend server on a free port of 127.0.0.1. */
  public BackendServer(String id, AvailabilityZone zone, int slots) {
    this.id = id;
    this.zone = zone;
    this.slots = slots;
    ServerBuilder builder = Server.builder();
    builder.http(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    builder.requestTimeoutMillis(0).maxRequestLength(0);
    builder.gracefulShutdownTimeout(Duration.ZERO, Duration.ZERO);
    builder.service(
        "/vanillacove/running", (context, request) -> HttpResponse.of("" + running.get()));
    builder.serviceUnder("/", this::serve);
    this.server = builder.build();
    server.start().join();
  }

  /** Ways to handle requests. */
  public enum Behaviour {
    /** Runs the request and responds. */
    NORMAL,
    /** Runs the request and responds with status 500. */
    FAILING,
    /** Takes ten times the requested time to respond. */
    SLOW,
    /** Runs the request and never responds. */
    SILENT,
    /** Runs the request, sends half of the announced body and aborts the response. */
    TRUNCATING,
    /** Rejects the request and reports that it did not run. */
    REFUSING,
    /** Responds with the identifier of another request. */
    MISMATCHING
  }

  /** Sets how requests are handled from now on. */
  public void setBehaviour(Behaviour next) {
    behaviour = next;
  }

  /** Sets whether the platform's host list marks this server as leaving. */
  public void setLeaving(boolean next) {
    leaving = next;
  }

  /** Returns the server's entry in the platform's host list. */
  public ListedHost listed() {
    String address = "127.0.0.1:" + server.activeLocalPort();
    return new ListedHost(id, ListedHost.Role.BACKEND, address, zone, leaving);
  }

  /** Returns the number of runs by request identifier. */
  public Map<String, Integer> runs() {
    return Map.copyOf(runs);
  }

  /** Returns the number of runs of all requests together. */
  public int runCount() {
    return runs.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns the number of requests that are running. */
  public int running() {
    return running.get();
  }

  /** Returns the maximum number of requests that ran at once so far. */
  public int maxRunning() {
    return maxRunning.get();
  }

  /** Returns how many requests were rejected because all slots were in use. */
  public int rejectedRequests() {
    return rejectedRequests.get();
  }

  /** Stops accepting requests; the server's threads end in the background, which takes 2 s. */
  @Override
  public void close() {
    server.closeAsync();
  }

  private HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
    Behaviour now = behaviour;
    if (now == Behaviour.REFUSING) {
      return notRunResponse();
    }
    int taken = running.incrementAndGet();
    if (taken > slots) {
      running.decrementAndGet();
      rejectedRequests.incrementAndGet();
      return notRunResponse();
    }
    maxRunning.accumulateAndGet(taken, Math::max);
    String requestId = request.headers().get(REQUEST_ID, "");
    runs.merge(requestId, 1, Integer::sum);
    Run run = new Run(requestId, now);
    run.answer.whenComplete().whenComplete((done, error) -> run.releaseSlot());
    request
        .aggregate()
        .thenAccept(whole -> respond(context, run, whole.content()))
        .exceptionally(
            error -> {
              run.answer.close(error);
              return null;
            });
    return run.answer;
  }

  private static void respond(ServiceRequestContext context, Run run, HttpData body) {
    long millis = longParam(context, "millis") * (run.behaviour == Behaviour.SLOW ? 10 : 1);
    int bytes = (int) longParam(context, "bytes");
    HttpData content = bytes > 0 ? HttpData.wrap(new byte[bytes]) : body;
    Runnable write = () -> run.write(content);
    if (run.behaviour == Behaviour.SILENT) {
      return;
    }
    if (millis <= 0) {
      write.run();
    } else {
      context.eventLoop().schedule(write, millis, TimeUnit.MILLISECONDS);
    }
  }

  private static HttpResponse notRunResponse() {
    return HttpResponse.of(
        ResponseHeaders.builder(HttpStatus.SERVICE_UNAVAILABLE)
            .set(OUTCOME, "not-run")
            .contentLength(0)
            .build());
  }

  private static long longParam(ServiceRequestContext context, String name) {
    String value = context.queryParam(name);
    return value == null ? 0 : Long.parseLong(value);
  }

  /** A request that is run and its response. */
  private final class Run {
    /** Identifier of the request. */
    private final String requestId;

    /** How the request is handled. */
    private final Behaviour behaviour;

    /** Response. */
    private final HttpResponseWriter answer = HttpResponse.streaming();

    /** Whether the request counts as running. */
    private final AtomicBoolean holdsSlot = new AtomicBoolean(true);

    Run(String requestId, Behaviour behaviour) {
      this.requestId = requestId;
      this.behaviour = behaviour;
    }

    /** Must precede the end of the response, since the caller then takes the slot for free. */
    void releaseSlot() {
      if (holdsSlot.compareAndSet(true, false)) {
        running.decrementAndGet();
      }
    }

    void write(HttpData content) {
      if (content.length() <= CHUNK_BYTES) {
        releaseSlot();
      }
      HttpStatus status =
          behaviour == Behaviour.FAILING ? HttpStatus.INTERNAL_SERVER_ERROR : HttpStatus.OK;
      String echoed = behaviour == Behaviour.MISMATCHING ? "of-another-request" : requestId;
      boolean written =
          answer.tryWrite(
              ResponseHeaders.builder(status)
                  .contentType(MediaType.OCTET_STREAM)
                  .contentLength(content.length())
                  .set(REQUEST_ID, echoed)
                  .build());
      if (!written) {
        return;
      }
      if (behaviour == Behaviour.TRUNCATING) {
        answer.write(HttpData.copyOf(content.array(), 0, content.length() / 2));
        releaseSlot();
        answer.close(new IllegalStateException("response truncated by the injected fault"));
      } else if (content.length() <= CHUNK_BYTES) {
        answer.write(content);
        answer.close();
      } else {
        writeChunks(content, 0);
      }
    }

    private void writeChunks(HttpData content, int from) {
      int length = Math.min(CHUNK_BYTES, content.length() - from);
      boolean last = from + length == content.length();
      if (last) {
        releaseSlot();
      }
      boolean written = answer.tryWrite(HttpData.copyOf(content.array(), from, length));
      if (last) {
        answer.close();
      } else if (written) {
        answer.whenConsumed().thenRun(() -> writeChunks(content, from + length));
      }
    }
  }
}

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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.state.api.AvailabilityZone;

/**
 * A backend server that runs requests in slots, counts every run by request identifier and can be
 * told to misbehave. {@code /work?millis=M&bytes=B} takes M milliseconds and answers B bytes;
 * {@code /echo} answers the body; {@code /vanillacove/running} tells how many requests run.
 */
public final class BackendServer implements AutoCloseable {
  /** Header with the identifier of a request. */
  public static final String REQUEST_ID = "vanillacove-request-id";

  /** Header with the outcome of a request. */
  public static final String OUTCOME = "vanillacove-outcome";

  /** Size of one piece of an answer in bytes. */
  private static final int PIECE_BYTES = 8_192;

  /** Identifier. */
  private final String id;

  /** Availability zone. */
  private final AvailabilityZone zone;

  /** Number of requests that run at once. */
  private final int slots;

  /** The HTTP server. */
  private final Server server;

  /** Runs by request identifier. */
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();

  /** Requests that run now. */
  private final AtomicInteger running = new AtomicInteger();

  /** Most requests that ever ran at once. */
  private final AtomicInteger peak = new AtomicInteger();

  /** Requests that found no free slot. */
  private final AtomicInteger overflows = new AtomicInteger();

  /** How it behaves. */
  private volatile Behaviour behaviour = Behaviour.NORMAL;

  /** Whether the platform's list says that it leaves. */
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

  /** How a backend server behaves. */
  public enum Behaviour {
    /** Runs and answers. */
    NORMAL,
    /** Runs and answers status 500 at once. */
    FAILING,
    /** Takes ten times as long. */
    SLOW,
    /** Runs and never answers. */
    SILENT,
    /** Runs, answers half of what it announced and ends the stream. */
    TRUNCATING,
    /** Does not run and says so. */
    REFUSING,
    /** Answers with the identifier of another request. */
    MISMATCHING
  }

  /** Changes the behaviour. */
  public void setBehaviour(Behaviour next) {
    behaviour = next;
  }

  /** Changes whether the list says that it leaves. */
  public void setLeaving(boolean next) {
    leaving = next;
  }

  /** Returns its entry of the platform's list. */
  public ListedHost listed() {
    String address = "127.0.0.1:" + server.activeLocalPort();
    return new ListedHost(id, ListedHost.Role.BACKEND, address, zone, leaving);
  }

  /** Returns the runs by request identifier. */
  public Map<String, Integer> runs() {
    return Map.copyOf(runs);
  }

  /** Returns the number of runs. */
  public int runCount() {
    return runs.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns the number of requests that run now. */
  public int running() {
    return running.get();
  }

  /** Returns the most requests that ever ran at once. */
  public int peak() {
    return peak.get();
  }

  /** Returns how many requests found no free slot. */
  public int overflows() {
    return overflows.get();
  }

  /** Stops taking requests; the threads of the server end in the background, which takes 2 s. */
  @Override
  public void close() {
    server.closeAsync();
  }

  private HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
    Behaviour now = behaviour;
    if (now == Behaviour.REFUSING) {
      return notRun();
    }
    int taken = running.incrementAndGet();
    if (taken > slots) {
      running.decrementAndGet();
      overflows.incrementAndGet();
      return notRun();
    }
    peak.accumulateAndGet(taken, Math::max);
    String requestId = request.headers().get(REQUEST_ID, "");
    runs.merge(requestId, 1, Integer::sum);
    HttpResponseWriter answer = HttpResponse.streaming();
    answer.whenComplete().whenComplete((done, error) -> running.decrementAndGet());
    request
        .aggregate()
        .thenAccept(whole -> answer(context, answer, now, requestId, whole.content()))
        .exceptionally(
            error -> {
              answer.close(error);
              return null;
            });
    return answer;
  }

  private void answer(
      ServiceRequestContext context,
      HttpResponseWriter answer,
      Behaviour now,
      String requestId,
      HttpData body) {
    long millis = longParam(context, "millis") * (now == Behaviour.SLOW ? 10 : 1);
    int bytes = (int) longParam(context, "bytes");
    HttpData content = bytes > 0 ? HttpData.wrap(new byte[bytes]) : body;
    Runnable write = () -> write(answer, now, requestId, content);
    if (now == Behaviour.SILENT) {
      return;
    }
    if (millis <= 0) {
      write.run();
    } else {
      context.eventLoop().schedule(write, millis, TimeUnit.MILLISECONDS);
    }
  }

  private static void write(
      HttpResponseWriter answer, Behaviour now, String requestId, HttpData content) {
    HttpStatus status = now == Behaviour.FAILING ? HttpStatus.INTERNAL_SERVER_ERROR : HttpStatus.OK;
    String echoed = now == Behaviour.MISMATCHING ? "of-another-request" : requestId;
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
    if (now == Behaviour.TRUNCATING) {
      answer.write(HttpData.copyOf(content.array(), 0, content.length() / 2));
      answer.close(new IllegalStateException("truncated on purpose"));
    } else if (content.length() <= PIECE_BYTES) {
      answer.write(content);
      answer.close();
    } else {
      writePieces(answer, content, 0);
    }
  }

  private static void writePieces(HttpResponseWriter answer, HttpData content, int from) {
    if (from >= content.length()) {
      answer.close();
      return;
    }
    int length = Math.min(PIECE_BYTES, content.length() - from);
    if (answer.tryWrite(HttpData.copyOf(content.array(), from, length))) {
      CompletableFuture<Void> consumed = answer.whenConsumed();
      consumed.thenRun(() -> writePieces(answer, content, from + length));
    }
  }

  private static HttpResponse notRun() {
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
}

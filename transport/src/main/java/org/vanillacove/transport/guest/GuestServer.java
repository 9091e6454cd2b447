package org.vanillacove.transport.guest;

import com.google.common.flogger.FluentLogger;
import com.linecorp.armeria.server.ServerBuilder;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.vanillacove.coordination.routing.IdempotencyKeyRegister;
import org.vanillacove.coordination.routing.RequestRouter;
import org.vanillacove.protocol.timer.TimerService;

/** Serves guest requests on the guest port of an entry host. */
public final class GuestServer {
  /** Interval between checks for requests in progress while the server drains. */
  private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(20);

  /** Time without requests after which a stopping server closes its connections. */
  private static final Duration QUIET_PERIOD = Duration.ofMillis(500);

  /** Logs the start of draining. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Assigns requests to slots of backend servers. */
  private final RequestRouter router;

  /** Schedules the checks for requests in progress. */
  private final TimerService timer;

  /** Sizes and timeouts that are applied to the server. */
  private final GuestLimits limits;

  /** Maximum deadline of a request, in milliseconds; also bounds the graceful shutdown. */
  private final LongSupplier maxDeadlineMillis;

  /** Handles all requests to the port. */
  private final GuestService service;

  /** Creates the service; {@link #configure} adds it to a server. */
  public GuestServer(
      RequestRouter router,
      IdempotencyKeyRegister keys,
      BackendClient client,
      TimerService timer,
      GuestLimits limits,
      LongSupplier maxDeadlineMillis) {
    this.router = router;
    this.timer = timer;
    this.limits = limits;
    this.maxDeadlineMillis = maxDeadlineMillis;
    this.service =
        new GuestService(
            router, client, timer, limits, maxDeadlineMillis, new IdempotencyKeyGuard(keys));
  }

  /** Adds the service for all paths and the limits to a server. */
  public void configure(ServerBuilder builder) {
    builder.serviceUnder("/", service);
    builder.maxRequestLength(limits.maxBodyBytes());
    builder.http1MaxHeaderSize(limits.maxHeaderBytes());
    builder.http2MaxHeaderListSize(limits.maxHeaderBytes());
    builder.maxNumConnections(limits.maxConnections());
    builder.requestTimeoutMillis(0);
    builder.pingInterval(limits.pingInterval());
    Duration longest = Duration.ofMillis(maxDeadlineMillis.getAsLong()).plus(QUIET_PERIOD);
    builder.gracefulShutdownTimeout(QUIET_PERIOD, longest);
  }

  /** Returns the number of requests in progress. */
  public int inProgress() {
    return service.inProgress();
  }

  /**
   * Drains this host without interrupting a request. Stops the server, so that it accepts no new
   * connections, finishes the waiting requests on the slots that this host still holds, and only
   * then transfers the slots to other hosts.
   */
  public CompletableFuture<Void> drain(Supplier<CompletableFuture<Void>> stopServer) {
    LOGGER.atInfo().log("routing: leaves with %d requests in progress.", inProgress());
    return stopServer
        .get()
        .thenCompose(stopped -> whenIdle())
        .thenCompose(idle -> router.transferTokens())
        .thenRun(router::close);
  }

  private CompletableFuture<Void> whenIdle() {
    CompletableFuture<Void> idle = new CompletableFuture<>();
    pollIdle(idle);
    return idle;
  }

  private void pollIdle(CompletableFuture<Void> idle) {
    if (service.inProgress() == 0) {
      idle.complete(null);
    } else {
      timer.after(DRAIN_POLL_INTERVAL, () -> pollIdle(idle));
    }
  }
}

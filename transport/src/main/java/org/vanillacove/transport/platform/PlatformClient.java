package org.vanillacove.transport.platform;

import com.google.common.flogger.FluentLogger;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpRequest;
import io.netty.channel.Channel;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.protocol.timer.TimerService;

/**
 * Calls the platform's HTTP services. After a call has timed out, later calls use new connections;
 * calls pending on the old connections may still complete until their deadlines. Thread-safe.
 */
public final class PlatformClient implements AutoCloseable {
  /** Logger of connection renewals. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Minimum time between two renewals of the connections, in milliseconds. */
  private static final long RENEWAL_INTERVAL_MILLIS = 1_000;

  /** Time after which an unused connection is closed. */
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);

  /** Base URI of the platform. */
  private final String uri;

  /** Timeout of each call. */
  private final Duration deadline;

  /** Clock, and timer that closes replaced connections. */
  private final TimerService timer;

  /** Makes the calls and reports timeouts. */
  private final HttpCaller caller = new HttpCaller(this::renewConnections);

  /** Connection pool for new calls; replaced by a renewal. */
  private ClientFactory factory;

  /** Client that uses the connections of {@link #factory}. */
  private WebClient client;

  /** Monotonic time at which the connections were last renewed, in milliseconds. */
  private long lastRenewalMillis;

  /** Number of renewals since the client was created. */
  private long renewals;

  /**
   * Creates a client.
   *
   * @param address address of the platform as host:port
   * @param deadline timeout of each call
   * @param timer clock, and timer that closes replaced connections
   */
  public PlatformClient(String address, Duration deadline, TimerService timer) {
    this.uri = "http://" + address;
    this.deadline = deadline;
    this.timer = timer;
    openConnections();
    lastRenewalMillis = timer.monotonicMillis() - RENEWAL_INTERVAL_MILLIS;
  }

  /** Returns how often the connections were renewed after a call had timed out. */
  public synchronized long renewals() {
    return renewals;
  }

  /** Closes all connections; pending calls end without a response. */
  @Override
  public synchronized void close() {
    factory.closeAsync();
  }

  /** Makes a call; failures are reported as outcomes, the future never fails. */
  CompletableFuture<HttpCallOutcome> call(HttpRequest request) {
    WebClient current;
    synchronized (this) {
      current = client;
    }
    return caller.call(current, request);
  }

  private synchronized void renewConnections(Channel unresponsive) {
    long now = timer.monotonicMillis();
    if (now - lastRenewalMillis < RENEWAL_INTERVAL_MILLIS) {
      return;
    }
    LOG.atInfo().log(
        "platform: call on connection %s timed out, opening new connections", unresponsive);
    lastRenewalMillis = now;
    renewals++;
    ClientFactory old = factory;
    openConnections();
    timer.after(deadline, old::closeAsync);
  }

  private void openConnections() {
    factory =
        ClientFactory.builder()
            .connectTimeout(deadline.dividedBy(2))
            .idleTimeout(IDLE_TIMEOUT)
            .build();
    client = HttpCaller.newClient(factory, uri, deadline);
  }
}

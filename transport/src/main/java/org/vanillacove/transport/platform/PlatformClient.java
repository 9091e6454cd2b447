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
 * Calls the platform's HTTP services. After a call that got no answer in time, later calls use new
 * connections, while calls that wait on the old ones keep them until their deadlines pass.
 * Thread-safe.
 */
public final class PlatformClient implements AutoCloseable {
  /** Log of the connection to the platform. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Time in milliseconds for which new connections are not suspected again. */
  private static final long RENEWAL_INTERVAL_MILLIS = 1_000;

  /** Time after which an unused connection is closed. */
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);

  /** Address of the platform as a URI. */
  private final String uri;

  /** Time within which each call ends. */
  private final Duration deadline;

  /** Source of time. */
  private final TimerService timer;

  /** Makes calls. */
  private final HttpCaller caller = new HttpCaller(this::renewConnections);

  /** Connections that new calls use. */
  private ClientFactory factory;

  /** Client on these connections. */
  private WebClient client;

  /** Monotonic time at which the connections were last renewed, in milliseconds. */
  private long renewedMillis;

  /** Number of renewals so far. */
  private long renewals;

  /**
   * Creates a client.
   *
   * @param address address of the platform as host:port
   * @param deadline time within which each call ends
   * @param timer source of time
   */
  public PlatformClient(String address, Duration deadline, TimerService timer) {
    this.uri = "http://" + address;
    this.deadline = deadline;
    this.timer = timer;
    open();
    renewedMillis = timer.monotonicMillis() - RENEWAL_INTERVAL_MILLIS;
  }

  /** Returns how often the connections were renewed after a call without an answer. */
  public synchronized long renewals() {
    return renewals;
  }

  /** Closes all connections; calls that still wait end without an answer. */
  @Override
  public synchronized void close() {
    factory.closeAsync();
  }

  /** Makes a call; the future always completes normally. */
  CompletableFuture<HttpCallOutcome> call(HttpRequest request) {
    WebClient current;
    synchronized (this) {
      current = client;
    }
    return caller.call(current, request);
  }

  private synchronized void renewConnections(Channel silent) {
    long now = timer.monotonicMillis();
    if (now - renewedMillis < RENEWAL_INTERVAL_MILLIS) {
      return;
    }
    LOG.atInfo().log("platform: no answer on %s, opening new connections", silent);
    renewedMillis = now;
    renewals++;
    ClientFactory old = factory;
    open();
    timer.after(deadline, old::closeAsync);
  }

  private void open() {
    factory =
        ClientFactory.builder()
            .connectTimeout(deadline.dividedBy(2))
            .idleTimeout(IDLE_TIMEOUT)
            .build();
    client = HttpCaller.newClient(factory, uri, deadline);
  }
}

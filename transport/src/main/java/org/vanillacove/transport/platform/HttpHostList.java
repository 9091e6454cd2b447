package org.vanillacove.transport.platform;

import com.google.common.flogger.FluentLogger;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.vanillacove.protocol.codec.PlatformListCodec;
import org.vanillacove.protocol.platform.HostList;
import org.vanillacove.protocol.platform.ListedHost;

/** The platform's host list over HTTP. */
public final class HttpHostList implements HostList {
  /** Log of faults of the list. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Path of the list. */
  private static final String HOSTS_PATH = "/v1/hosts";

  /** Shortest time between two log lines of the same kind, in seconds. */
  private static final int LOG_INTERVAL_SECONDS = 10;

  /** Calls the platform. */
  private final PlatformClient client;

  /** Creates a list on {@code client}. */
  public HttpHostList(PlatformClient client) {
    this.client = client;
  }

  @Override
  public CompletableFuture<Optional<List<ListedHost>>> fetch() {
    return client.call(HttpRequest.of(HttpMethod.GET, HOSTS_PATH)).thenApply(HttpHostList::hostsIn);
  }

  private static Optional<List<ListedHost>> hostsIn(HttpCallOutcome outcome) {
    if (outcome instanceof HttpCallOutcome.Answered answered && answered.isOk()) {
      try {
        return Optional.of(PlatformListCodec.decodeHosts(answered.body().toByteArray()));
      } catch (IOException e) {
        LOG.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
            "platform: malformed host list: %s", e.getMessage());
      }
    }
    return Optional.empty();
  }
}

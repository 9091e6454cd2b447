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

/** Fetches the host list from the platform over HTTP. */
public final class HttpHostList implements HostList {
  /** Logger of malformed host lists. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Path of the host list on the platform. */
  private static final String HOSTS_PATH = "/v1/hosts";

  /** Minimum time between two warnings about a malformed list, in seconds. */
  private static final int LOG_INTERVAL_SECONDS = 10;

  /** HTTP client of the platform. */
  private final PlatformClient client;

  /** Creates a host list that is fetched with {@code client}. */
  public HttpHostList(PlatformClient client) {
    this.client = client;
  }

  @Override
  public CompletableFuture<Optional<List<ListedHost>>> fetch() {
    return client
        .call(HttpRequest.of(HttpMethod.GET, HOSTS_PATH))
        .thenApply(HttpHostList::parseHosts);
  }

  private static Optional<List<ListedHost>> parseHosts(HttpCallOutcome outcome) {
    if (outcome instanceof HttpCallOutcome.Responded responded && responded.isOk()) {
      try {
        return Optional.of(PlatformListCodec.decodeHosts(responded.body().toByteArray()));
      } catch (IOException e) {
        LOG.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
            "platform: malformed host list: %s", e.getMessage());
      }
    }
    return Optional.empty();
  }
}

package org.vanillacove.protocol.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform's list of hosts, which lags behind the actual hosts. */
public interface HostList {
  /** Fetches the list, empty if it is not available. */
  CompletableFuture<Optional<List<ListedHost>>> fetch();
}

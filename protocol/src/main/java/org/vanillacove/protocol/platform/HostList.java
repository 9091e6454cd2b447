package org.vanillacove.protocol.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform's lagging list of hosts. */
public interface HostList {
  /** Fetches the list, empty if it could not be had. */
  CompletableFuture<Optional<List<ListedHost>>> fetch();
}

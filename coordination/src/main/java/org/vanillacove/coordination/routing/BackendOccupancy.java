package org.vanillacove.coordination.routing;

import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.protocol.platform.ListedHost;

/** Asks a backend server how many requests it runs. */
@FunctionalInterface
public interface BackendOccupancy {
  /** Never knows. */
  BackendOccupancy UNKNOWN = backend -> CompletableFuture.completedFuture(OptionalInt.empty());

  /** Returns the number of running requests, empty if the backend server does not tell. */
  CompletableFuture<OptionalInt> running(ListedHost backend);
}

package org.vanillacove.coordination.routing;

import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.protocol.platform.ListedHost;

/** Queries a backend server for the number of requests it is running. */
@FunctionalInterface
public interface BackendOccupancy {
  /** Reports the number of running requests as unknown for every backend server. */
  BackendOccupancy UNKNOWN = backend -> CompletableFuture.completedFuture(OptionalInt.empty());

  /** Returns the number of running requests, empty if the backend server does not report it. */
  CompletableFuture<OptionalInt> runningRequests(ListedHost backend);
}

package org.vanillacove.bench.waiting;

/** Routing policy under comparison, which sends requests to backend servers. */
@FunctionalInterface
interface Policy {
  /** Handles a request; called at the simulated time of its arrival. */
  void arrive(Arrival arrival);
}

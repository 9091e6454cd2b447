package org.vanillacove.bench.waiting;

/** Decides where requests run. */
@FunctionalInterface
interface Policy {
  /** Handles an arrival at its time. */
  void arrive(Arrival arrival);
}

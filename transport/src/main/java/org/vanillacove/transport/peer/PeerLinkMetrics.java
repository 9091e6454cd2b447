package org.vanillacove.transport.peer;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/** Counters of a peer link. */
final class PeerLinkMetrics {
  /** Frames given to connections. */
  private final Counter sent;

  /** Messages and requests that were not sent. */
  private final Counter dropped;

  /** Messages and requests received that were not handled. */
  private final Counter unhandled;

  /** Connections that were opened towards peers. */
  private final Counter connects;

  /** Connections closed because nothing was received on them. */
  private final Counter silences;

  PeerLinkMetrics(MeterRegistry registry) {
    sent = registry.counter("peer.frames.sent");
    dropped = registry.counter("peer.messages.dropped");
    unhandled = registry.counter("peer.messages.unhandled");
    connects = registry.counter("peer.connects");
    silences = registry.counter("peer.silences");
  }

  /** Counts a frame given to a connection. */
  void countSent() {
    sent.increment();
  }

  /** Counts a message or request that was not sent. */
  void countDropped() {
    dropped.increment();
  }

  /** Counts a received message or request that was not handled. */
  void countUnhandled() {
    unhandled.increment();
  }

  /** Counts a connection that was opened towards a peer. */
  void countConnect() {
    connects.increment();
  }

  /** Counts a connection closed because nothing was received on it. */
  void countSilence() {
    silences.increment();
  }
}

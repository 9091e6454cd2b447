package org.vanillacove.transport.peer;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/** Counters of a peer link. */
final class PeerLinkMetrics {
  /** Frames written to connections. */
  private final Counter sent;

  /** Messages, requests and replies that could not be sent. */
  private final Counter dropped;

  /** Received messages and requests without a handler or beyond the queue limit. */
  private final Counter unhandled;

  /** Outgoing connections that became ready. */
  private final Counter connects;

  /** Outgoing connections that were closed as unresponsive. */
  private final Counter unresponsiveConnections;

  PeerLinkMetrics(MeterRegistry registry) {
    sent = registry.counter("peer.frames.sent");
    dropped = registry.counter("peer.messages.dropped");
    unhandled = registry.counter("peer.messages.unhandled");
    connects = registry.counter("peer.connects");
    unresponsiveConnections = registry.counter("peer.silences");
  }

  /** Counts a frame written to a connection. */
  void countSent() {
    sent.increment();
  }

  /** Counts a message, request or reply that could not be sent. */
  void countDropped() {
    dropped.increment();
  }

  /** Counts a received message or request that was not handled. */
  void countUnhandled() {
    unhandled.increment();
  }

  /** Counts an outgoing connection that became ready. */
  void countConnect() {
    connects.increment();
  }

  /** Counts an outgoing connection that is closed as unresponsive. */
  void countUnresponsive() {
    unresponsiveConnections.increment();
  }
}

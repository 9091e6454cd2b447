package org.vanillacove.transport.operator.message;

import java.util.List;
import org.vanillacove.protocol.timeline.TimelineEvent;

/**
 * Events of all entry hosts in one order.
 *
 * @param events the events
 * @param missing hosts that did not answer in time
 * @param dropped events that hosts dropped to stay within their bounds
 */
public record TimelineMessage(List<TimelineEvent> events, List<String> missing, long dropped) {
  /** Copies the lists. */
  public TimelineMessage {
    events = List.copyOf(events);
    missing = List.copyOf(missing);
  }
}

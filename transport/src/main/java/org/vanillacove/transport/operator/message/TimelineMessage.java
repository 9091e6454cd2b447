package org.vanillacove.transport.operator.message;

import java.util.List;
import org.vanillacove.protocol.timeline.TimelineEvent;

/**
 * Events of all entry hosts, merged into one order.
 *
 * @param events the events that match the request
 * @param missing hosts that did not answer in time
 * @param dropped number of events that hosts dropped to stay within their limits
 */
public record TimelineMessage(List<TimelineEvent> events, List<String> missing, long dropped) {
  /** Makes immutable copies of the lists. */
  public TimelineMessage {
    events = List.copyOf(events);
    missing = List.copyOf(missing);
  }
}

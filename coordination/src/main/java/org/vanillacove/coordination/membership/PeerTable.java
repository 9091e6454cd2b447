package org.vanillacove.coordination.membership;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.vanillacove.coordination.session.PlanStamp;
import org.vanillacove.protocol.generated.HeartbeatMessage;

/** Newest heartbeat of each other host; thread-safe. */
public final class PeerTable {
  /** What was heard, by host. */
  private final Map<String, Heard> heard = new TreeMap<>();

  /** Creates an empty table. */
  public PeerTable() {}

  /**
   * A heartbeat with the time it came.
   *
   * @param atMillis monotonic time of arrival in milliseconds
   * @param message the heartbeat
   */
  public record Heard(long atMillis, HeartbeatMessage message) {
    /** Returns the newest stamp that the host knew. */
    public PlanStamp stamp() {
      return new PlanStamp(message.getEpoch(), message.getPlanVersion());
    }
  }

  /** Takes note of a heartbeat. */
  public synchronized void put(String hostId, long nowMillis, HeartbeatMessage message) {
    heard.put(hostId, new Heard(nowMillis, message));
  }

  /** Returns the newest heartbeat of a host. */
  public synchronized Optional<Heard> get(String hostId) {
    return Optional.ofNullable(heard.get(hostId));
  }

  /** Returns the newest heartbeats by host. */
  public synchronized Map<String, Heard> all() {
    return new TreeMap<>(heard);
  }

  /** Returns the monotonic time of a host's newest heartbeat, empty if none came. */
  public synchronized Optional<Long> heardAtMillis(String hostId) {
    return Optional.ofNullable(heard.get(hostId)).map(Heard::atMillis);
  }

  /** Forgets a host. */
  public synchronized void remove(String hostId) {
    heard.remove(hostId);
  }
}

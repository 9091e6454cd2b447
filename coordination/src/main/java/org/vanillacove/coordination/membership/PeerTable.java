package org.vanillacove.coordination.membership;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.vanillacove.coordination.session.PlanStamp;
import org.vanillacove.protocol.generated.HeartbeatMessage;

/** Newest heartbeat of each other host; thread-safe. */
public final class PeerTable {
  /** Newest heartbeat, by host identifier. */
  private final Map<String, ReceivedHeartbeat> heartbeats = new TreeMap<>();

  /** Creates an empty table. */
  public PeerTable() {}

  /**
   * A heartbeat with its time of arrival.
   *
   * @param atMillis monotonic time of arrival in milliseconds
   * @param message the heartbeat
   */
  public record ReceivedHeartbeat(long atMillis, HeartbeatMessage message) {
    /** Returns the stamp of the newest session plan that the sender knew. */
    public PlanStamp stamp() {
      return new PlanStamp(message.getEpoch(), message.getPlanVersion());
    }
  }

  /** Replaces the stored heartbeat of a host. */
  public synchronized void put(String hostId, long nowMillis, HeartbeatMessage message) {
    heartbeats.put(hostId, new ReceivedHeartbeat(nowMillis, message));
  }

  /** Returns the newest heartbeat of a host, empty if none was received. */
  public synchronized Optional<ReceivedHeartbeat> get(String hostId) {
    return Optional.ofNullable(heartbeats.get(hostId));
  }

  /** Returns a copy of the table, by host identifier. */
  public synchronized Map<String, ReceivedHeartbeat> all() {
    return new TreeMap<>(heartbeats);
  }

  /**
   * Returns the monotonic time in milliseconds at which a host's newest heartbeat arrived, empty if
   * none was received.
   */
  public synchronized Optional<Long> lastHeartbeatMillis(String hostId) {
    return Optional.ofNullable(heartbeats.get(hostId)).map(ReceivedHeartbeat::atMillis);
  }

  /** Removes the heartbeat of a host. */
  public synchronized void remove(String hostId) {
    heartbeats.remove(hostId);
  }
}

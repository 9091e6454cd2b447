package org.vanillacove.daemon.host;

import java.time.Duration;
import org.vanillacove.coordination.api.CellTimings;
import org.vanillacove.coordination.routing.SlotTiming;
import org.vanillacove.protocol.settings.DaemonSettings.TimingSettings;

/** Converts the timings of the settings to those of the components. */
final class TimingMapper {
  /** Number of heartbeat intervals without a heartbeat after which a host is suspected. */
  private static final int MISSED_HEARTBEATS_BEFORE_SUSPICION = 4;

  /** Number of renewals within the duration of a worker lease. */
  private static final int RENEWALS_PER_LEASE = 3;

  private TimingMapper() {}

  /** Returns the timings of the cell. */
  static CellTimings cellTimings(TimingSettings settings) {
    CellTimings defaults = CellTimings.DEFAULTS;
    return new CellTimings(
        Duration.ofMillis(settings.heartbeatMillis()),
        Duration.ofMillis(settings.heartbeatMillis() * MISSED_HEARTBEATS_BEFORE_SUSPICION),
        Duration.ofMillis(settings.hostLeaseMillis()),
        Duration.ofMillis(settings.workerLeaseMillis()),
        Duration.ofMillis(settings.driftMarginMillis()),
        Duration.ofMillis(settings.workerLeaseMillis() / RENEWALS_PER_LEASE),
        Duration.ofMillis(settings.batchMillis()),
        defaults.logPoll(),
        defaults.decision(),
        Duration.ofMillis(settings.pollMillis()),
        defaults.hostRemoval(),
        Duration.ofMillis(settings.snapshotMillis()));
  }

  /** Returns the timings of slots: the duration of the host lease and the drift margin. */
  static SlotTiming slotTiming(TimingSettings settings) {
    return new SlotTiming(settings.hostLeaseMillis(), settings.driftMarginMillis());
  }
}

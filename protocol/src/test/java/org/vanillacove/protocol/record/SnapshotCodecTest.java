package org.vanillacove.protocol.record;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.cell.CellState;

/** Guards against snapshots that lose the reason of a worker's status. */
final class SnapshotCodecTest {
  @Test
  void snapshotKeepsQuarantineReason() {
    CellState state = new CellState();
    WorkerSpec worker =
        new WorkerSpec(
            "w1",
            "127.0.0.1:1",
            new AvailabilityZone("region", "zone"),
            "rack",
            new Resources(1_000, 1_024, 0),
            Optional.empty(),
            Map.of());
    state.apply(1, new RecordEnvelope("h1:1", 0, "h1", new CellRecord.WorkerJoined(worker)));
    CellRecord change = new CellRecord.WorkerChanged("w1", WorkerStatus.QUARANTINED, "disk");
    state.apply(2, new RecordEnvelope("h1:2", 0, "h1", change));

    CellState restored =
        CellState.restore(
            SnapshotCodec.decode(SnapshotCodec.encode("s", state.snapshot())).orElseThrow());

    assertThat(restored.worker("w1").orElseThrow().status()).isEqualTo(WorkerStatus.QUARANTINED);
    assertThat(restored.worker("w1").orElseThrow().reason()).isEqualTo("disk");
  }
}

package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.vanillacove.coordination.work.api.WorkerEntry;

/**
 * Guards against workers that get no more tasks since another writer left entries that name a
 * service which the configuration doesn't have.
 */
class EntryOfUnnamedServiceTest {
  private static final String ID = "00000000000000a1";

  @Test
  void workersOfSuchEntriesStayInUse() {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.run(1_000);
    Map<String, WorkerEntry> foreign = new HashMap<>();
    fixture
        .workers
        .directory()
        .forEach(
            (id, entry) ->
                foreign.put(
                    id,
                    new WorkerEntry(
                        id,
                        entry.incarnation(),
                        entry.address(),
                        "unnamed",
                        false,
                        entry.capacity().times(2),
                        entry.rack(),
                        entry.labels())));
    fixture.cell().updateDirectory(foreign);
    fixture.submit(CellFixture.job(ID, CellFixture.step(60, 1_000, 3_000, false, List.of())));
    for (int i = 0; i < 4; i++) {
      fixture.cell().setCommandsAllowed(true);
      fixture.timer.advance(250);
      fixture.cell().updateDirectory(foreign);
    }
    assertThat(fixture.workers.running()).isEqualTo(48);
    assertThat(fixture.workers.violations()).isEmpty();
  }
}

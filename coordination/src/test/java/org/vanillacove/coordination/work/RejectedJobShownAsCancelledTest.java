package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillacove.coordination.work.api.SubmitOutcome;

/**
 * Guards against a rejected job that is shown as cancelled, since it was cancelled while its
 * acceptance waited for the store.
 */
class RejectedJobShownAsCancelledTest {
  private static final String FIRST = "00000000000000a1";
  private static final String CANCELLED = "00000000000000a2";

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void rejectedJobIsUnknown(boolean newLeader) {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.store.fault(FakeStore.Fault.UNRESPONSIVE);
    submit(fixture, FIRST);
    fixture.run(250);
    submit(fixture, CANCELLED);
    fixture.cancel(CANCELLED);
    fixture.run(1_000);
    assertThat(fixture.outcomes.get(CANCELLED)).isInstanceOf(SubmitOutcome.Rejected.class);
    fixture.store.fault(FakeStore.Fault.NONE);
    fixture.run(1_000);
    if (newLeader) {
      fixture.startLeader();
    }
    assertThat(fixture.cell().findJob(CANCELLED)).isEmpty();
  }

  private static void submit(CellFixture fixture, String id) {
    fixture.submit(CellFixture.job(id, CellFixture.step(1, 1_000, 300, false, List.of())));
  }
}

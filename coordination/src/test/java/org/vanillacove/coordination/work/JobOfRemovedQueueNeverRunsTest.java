package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillacove.coordination.work.api.JobView;
import org.vanillacove.coordination.work.api.SubmitOutcome;
import org.vanillacove.coordination.work.api.TaskName;
import org.vanillacove.coordination.work.api.WorkerClient.EndCause;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.work.QueuePolicy;

/**
 * Guards against accepted jobs that wait for good since their queue is no longer configured: it was
 * renamed, moved or removed while they were open.
 */
class JobOfRemovedQueueNeverRunsTest {
  private static final String ID = "00000000000000a1";
  private static final String OTHER_ID = "00000000000000a2";
  private static final String OTHER_ADDRESS = "planner.example/orders/";
  private static final String OTHER_SERVICE = "other";
  private static final int ALL_TASKS = 7;

  /** A series of changes to the configuration while a job is open. */
  private enum Changes {
    REMOVED,
    RENAMED,
    RENAMED_TWICE,
    RENAMED_AND_REMOVED,
    RENAMED_AND_MOVED,
    RENAMED_TO_OTHER_SERVICE,
    REMOVED_AND_ADDED_AGAIN,
    REPLACED_AT_OTHER_ADDRESS,
    MOVED,
    SERVICE_CHANGED;

    /** Returns the queues of each configuration in turn. */
    List<List<QueuePolicy>> configurations(CellFixture fixture) {
      QueuePolicy first = same(fixture, CellFixture.QUEUE);
      QueuePolicy renamed = same(fixture, "renamed");
      return switch (this) {
        case REMOVED -> List.of(List.of());
        case RENAMED -> List.of(List.of(renamed));
        case RENAMED_TWICE -> List.of(List.of(renamed), List.of(same(fixture, "again")));
        case RENAMED_AND_REMOVED -> List.of(List.of(renamed), List.of());
        case RENAMED_AND_MOVED ->
            List.of(
                List.of(renamed),
                List.of(fixture.queue("renamed", OTHER_ADDRESS, CellFixture.SERVICE)));
        case RENAMED_TO_OTHER_SERVICE ->
            List.of(List.of(fixture.queue("renamed", CellFixture.ADDRESS, OTHER_SERVICE)));
        case REMOVED_AND_ADDED_AGAIN -> List.of(List.of(), List.of(first));
        case REPLACED_AT_OTHER_ADDRESS ->
            List.of(List.of(fixture.queue("renamed", OTHER_ADDRESS, CellFixture.SERVICE)));
        case MOVED ->
            List.of(List.of(fixture.queue(CellFixture.QUEUE, OTHER_ADDRESS, CellFixture.SERVICE)));
        case SERVICE_CHANGED ->
            List.of(List.of(fixture.queue(CellFixture.QUEUE, CellFixture.ADDRESS, OTHER_SERVICE)));
      };
    }

    private static QueuePolicy same(CellFixture fixture, String name) {
      return fixture.queue(name, CellFixture.ADDRESS, CellFixture.SERVICE);
    }
  }

  /** When the leader is replaced. */
  private enum NextLeader {
    NONE,
    AFTER_EACH_CHANGE,
    AT_THE_LAST_CHANGE
  }

  private static Stream<Arguments> schedules() {
    List<Arguments> all = new ArrayList<>();
    for (Changes changes : Changes.values()) {
      for (NextLeader next : NextLeader.values()) {
        all.add(Arguments.of(changes, next, false));
        all.add(Arguments.of(changes, next, true));
      }
    }
    return all.stream();
  }

  @ParameterizedTest
  @MethodSource("schedules")
  void jobIsCompleted(Changes changes, NextLeader next, boolean advised) {
    CellFixture fixture = fixture(advised);
    submit(fixture, ID);
    fixture.run(500);
    apply(changes.configurations(fixture), next, fixture);
    fixture.run(20_000);
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
    assertThat(fixture.workers.violations()).isEmpty();
    assertThat(fixture.workers.starts()).isEqualTo(ALL_TASKS);
    assertThat(fixture.workers.running()).isZero();
  }

  @ParameterizedTest
  @CsvSource({"2,false,COMPLETED", "3,false,FAILED", "2,true,COMPLETED", "3,true,FAILED"})
  void attemptsOfRemovedQueueStillCount(int failures, boolean newLeader, JobView expected) {
    CellFixture fixture = fixture(false);
    disconnectAll(fixture, true);
    fixture.submit(CellFixture.job(ID, CellFixture.step(1, 1_000, 300, false, List.of())));
    fixture.run(250);
    for (int run = 1; run <= failures; run++) {
      fixture.workers.addEnd("w" + run, new TaskName(ID, 0, 0), run, EndCause.FAILED);
    }
    fixture.configure(List.of());
    if (newLeader) {
      fixture.startLeader();
    }
    disconnectAll(fixture, false);
    fixture.run(12_000);
    assertThat(fixture.cell().findJob(ID)).contains(expected);
    assertThat(fixture.workers.violations()).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void removedQueueCanBeCancelledAndTakesNoJobs(boolean newLeader) {
    CellFixture fixture = fixture(false);
    submit(fixture, ID);
    fixture.run(500);
    fixture.configure(List.of());
    if (newLeader) {
      fixture.startLeader();
    }
    submit(fixture, OTHER_ID);
    fixture.cancel(ID);
    fixture.run(3_000);
    assertThat(fixture.outcomes.get(OTHER_ID)).isInstanceOf(SubmitOutcome.Rejected.class);
    assertThat(fixture.cell().findJob(ID)).contains(JobView.CANCELLED);
    assertThat(fixture.workers.running()).isZero();
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void waitingJobsOfRenamedQueueAreCounted(boolean newLeader) {
    CellFixture fixture = fixture(false);
    disconnectAll(fixture, true);
    submit(fixture, ID);
    fixture.run(250);
    fixture.configure(List.of(fixture.queue("renamed", CellFixture.ADDRESS, CellFixture.SERVICE)));
    if (newLeader) {
      fixture.startLeader();
    }
    submit(fixture, OTHER_ID, "renamed");
    fixture.run(250);
    assertThat(fixture.cell().waiting("renamed")).isEqualTo(2);
  }

  // Work of a removed queue precedes later jobs, so a job that can't be in time is rejected.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void waitingWorkOfRemovedQueueIsBacklog(boolean newLeader) {
    CellFixture fixture = fixture(false);
    fixture.submit(CellFixture.job(ID, CellFixture.step(2_000, 8_000, 2_000, false, List.of())));
    fixture.run(250);
    fixture.configure(List.of(fixture.queue("renamed", OTHER_ADDRESS, CellFixture.SERVICE)));
    if (newLeader) {
      fixture.startLeader();
      fixture.run(500);
    }
    submit(fixture, OTHER_ID, "renamed");
    assertThat(fixture.outcomes.get(OTHER_ID)).isInstanceOf(SubmitOutcome.Rejected.class);
  }

  private static CellFixture fixture(boolean advised) {
    CellFixture fixture = new CellFixture(1, advised);
    for (int i = 0; i < 6; i++) {
      fixture.workers.add("other" + i, OTHER_SERVICE, new Resources(8_000, 32_000, 0), "r3");
    }
    fixture.workers.attempts(3, 0);
    fixture.startLeader();
    fixture.run(1_000);
    return fixture;
  }

  private static void submit(CellFixture fixture, String id) {
    submit(fixture, id, CellFixture.QUEUE);
  }

  private static void submit(CellFixture fixture, String id, String queue) {
    fixture.submit(
        CellFixture.job(
            id,
            queue,
            CellFixture.step(4, 2_000, 1_500, false, List.of()),
            CellFixture.step(3, 2_000, 500, true, List.of(0))));
  }

  private static void apply(
      List<List<QueuePolicy>> configurations, NextLeader next, CellFixture fixture) {
    for (int i = 0; i < configurations.size(); i++) {
      boolean last = i == configurations.size() - 1;
      if (last && next == NextLeader.AT_THE_LAST_CHANGE) {
        fixture.startLeader(configurations.get(i));
      } else {
        fixture.configure(configurations.get(i));
      }
      fixture.run(250);
      if (next == NextLeader.AFTER_EACH_CHANGE) {
        fixture.startLeader();
        fixture.run(250);
      }
    }
  }

  private static void disconnectAll(CellFixture fixture, boolean disconnected) {
    for (int i = 0; i < 6; i++) {
      fixture.workers.disconnect("w" + i, disconnected);
    }
    fixture.run(2_000);
  }
}

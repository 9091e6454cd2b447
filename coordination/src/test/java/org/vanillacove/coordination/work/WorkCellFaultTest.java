package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillacove.coordination.work.api.JobView;
import org.vanillacove.coordination.work.api.SubmitOutcome;
import org.vanillacove.coordination.work.api.WorkerClient;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.tenancy.OrganisationTable;
import org.vanillacove.state.work.JobSpec;
import org.vanillacove.state.work.QueuePolicy;
import org.vanillacove.state.work.StepSpec;

/**
 * Runs the cell under seeded schedules of faults: changes of leader, workers that crash, are
 * disconnected or execute commands late, and a store that rejects appends, doesn't respond, loses
 * responses or applies appends late.
 */
class WorkCellFaultTest {
  private static final int ROUNDS = 60;
  private static final long RECOVERY_MILLIS = 60_000;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void invariantsHoldUnderFaults(long seed) {
    playFaults(new CellFixture(seed, seed % 2 == 0), new Random(seed), false);
  }

  // Guards against accepted jobs that are lost by a change of their queue beside other faults.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void acceptedJobsEndWhenQueuesChangeUnderFaults(long seed) {
    CellFixture fixture = new CellFixture(seed, seed % 2 == 0);
    for (int i = 0; i < 6; i++) {
      fixture.workers.add("o" + i, "other", new Resources(8_000, 32_000, 0), "r3");
    }
    playFaults(fixture, new Random(seed), true);
  }

  // Guards against starts beyond a cap: of a new leader, of a gang, or beside runs cut off.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void capsHoldUnderFaults(long seed) {
    CellFixture fixture = new CellFixture(seed, seed % 2 == 0);
    fixture.workers.attempts(3, 0.1);
    fixture.startLeader();
    fixture.configureOrganisations(
        new OrganisationTable(
            List.of(
                CellFixture.organisation("o0", 1, new Resources(9_000, 0, 0)),
                CellFixture.organisation("o1", 2, new Resources(12_000, 6_000, 0)),
                CellFixture.organisation("o2", 3, Resources.NONE))));
    playFaults(fixture, new Random(seed), false);
    assertThat(fixture.workers.starts()).isPositive();
  }

  /** Plays random events, then checks that the invariants held and that all jobs have ended. */
  private static void playFaults(CellFixture fixture, Random random, boolean queuesChange) {
    fixture.workers.attempts(3, 0.1);
    fixture.startLeader();
    fixture.run(1_000);
    List<JobSpec> jobs = new ArrayList<>();
    Set<String> cancelled = new HashSet<>();
    for (int round = 0; round < ROUNDS; round++) {
      if (queuesChange && random.nextInt(4) == 0) {
        changeQueues(fixture, random, round);
      } else {
        applyRandomEvent(fixture, random, jobs, cancelled);
      }
      fixture.run(250L * (1 + random.nextInt(4)));
      assertThat(fixture.workers.violations()).as("round %d", round).isEmpty();
    }
    clearFaultsAndRun(fixture);
    assertThat(fixture.workers.violations()).isEmpty();
    for (JobSpec job : jobs) {
      checkEnd(fixture, job.id(), cancelled);
    }
    assertThat(fixture.workers.running()).isZero();
  }

  // With refused starts and changes of leader as the only faults, no gang has a reason to be alone.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void gangsAreNeverAloneWhenStartsAreRefused(long seed) {
    Random random = new Random(seed);
    boolean advised = seed % 2 == 0;
    // The adviser allows a step some of the workers only, on which wide gangs never fit.
    int maxMembers = advised ? 4 : 10;
    CellFixture fixture = new CellFixture(seed, advised);
    fixture.workers.attempts(3, 0.05);
    fixture.startLeader();
    fixture.run(1_000);
    List<JobSpec> jobs = new ArrayList<>();
    for (int round = 0; round < ROUNDS; round++) {
      applyRefusalEvent(fixture, random, jobs, maxMembers);
      fixture.timer.advance(50L * (1 + random.nextInt(8)));
      assertThat(fixture.workers.violations()).as("round %d", round).isEmpty();
    }
    fixture.run(RECOVERY_MILLIS);
    assertThat(fixture.workers.aloneEnds()).isEmpty();
    assertThat(fixture.workers.violations()).isEmpty();
    for (JobSpec job : jobs) {
      checkEnd(fixture, job.id(), Set.of());
    }
  }

  /** Keeps, renames, moves, redirects or removes the only queue, at times with a new leader. */
  private static void changeQueues(CellFixture fixture, Random random, int round) {
    String name = random.nextBoolean() ? CellFixture.QUEUE : "renamed-" + round;
    String address = random.nextInt(4) == 0 ? "planner.example/" + round : CellFixture.ADDRESS;
    String service = random.nextInt(4) == 0 ? "other" : CellFixture.SERVICE;
    List<QueuePolicy> queues =
        random.nextInt(4) == 0 ? List.of() : List.of(fixture.queue(name, address, service));
    if (random.nextInt(4) == 0) {
      fixture.startLeader(queues);
    } else {
      fixture.configure(queues);
    }
  }

  private static void applyRefusalEvent(
      CellFixture fixture, Random random, List<JobSpec> jobs, int maxMembers) {
    WorkerClient.Refusal[] refusals = {
      WorkerClient.Refusal.TICKET,
      WorkerClient.Refusal.UNHEALTHY,
      WorkerClient.Refusal.NO_ROOM,
      WorkerClient.Refusal.UNREACHABLE
    };
    switch (random.nextInt(5)) {
      case 0 -> fixture.startLeader();
      case 1, 2 ->
          fixture.workers.refuseStarts(
              "w" + random.nextInt(6),
              1 + random.nextInt(3),
              refusals[random.nextInt(refusals.length)]);
      default -> {
        JobSpec job =
            CellFixture.job(
                String.format("%016x", jobs.size() + 1),
                CellFixture.step(
                    2 + random.nextInt(maxMembers - 1),
                    1_000 + random.nextInt(3_000),
                    200 + random.nextInt(2_000),
                    true,
                    List.of()));
        jobs.add(job);
        fixture.submit(job);
      }
    }
  }

  private static void applyRandomEvent(
      CellFixture fixture, Random random, List<JobSpec> jobs, Set<String> cancelled) {
    String worker = "w" + random.nextInt(6);
    switch (random.nextInt(12)) {
      case 0 -> fixture.startLeader();
      case 1 -> fixture.workers.disconnect(worker, true);
      case 2 -> fixture.workers.disconnect(worker, false);
      case 3 -> fixture.workers.crash(worker);
      case 4 -> fixture.workers.delayCommands(worker, random.nextBoolean());
      case 5 -> {
        FakeStore.Fault[] faults = FakeStore.Fault.values();
        fixture.store.fault(faults[random.nextInt(faults.length)]);
      }
      case 6 -> fixture.store.fault(FakeStore.Fault.NONE);
      case 7 -> {
        if (!jobs.isEmpty()) {
          String id = jobs.get(random.nextInt(jobs.size())).id();
          cancelled.add(id);
          fixture.cancel(id);
        }
      }
      default -> {
        JobSpec job =
            job(random, jobs.size(), fixture.anyQueue()).ofOrganisation("o" + jobs.size() % 3);
        jobs.add(job);
        fixture.submit(job);
      }
    }
  }

  private static JobSpec job(Random random, int number, String queue) {
    List<StepSpec> steps = new ArrayList<>();
    int count = 1 + random.nextInt(3);
    for (int i = 0; i < count; i++) {
      boolean gang = random.nextInt(3) == 0;
      int limit = gang ? 0 : random.nextInt(3);
      steps.add(
          new StepSpec(
              1 + random.nextInt(4),
              new Resources(1_000 + random.nextInt(3_000), 1_000, 0),
              200 + random.nextInt(2_500),
              i == 0 ? List.of() : List.of(i - 1),
              false,
              gang,
              false,
              Optional.empty(),
              Optional.empty(),
              limit));
    }
    String id = String.format("%016x", number + 1);
    return new JobSpec(id, queue, "payload " + number, steps);
  }

  private static void clearFaultsAndRun(CellFixture fixture) {
    fixture.store.fault(FakeStore.Fault.NONE);
    for (int i = 0; i < 6; i++) {
      fixture.workers.disconnect("w" + i, false);
      fixture.workers.delayCommands("w" + i, false);
    }
    fixture.run(RECOVERY_MILLIS);
  }

  private static void checkEnd(CellFixture fixture, String id, Set<String> cancelled) {
    SubmitOutcome outcome = fixture.outcomes.get(id);
    Optional<JobView> view = fixture.cell().findJob(id);
    if (outcome instanceof SubmitOutcome.Rejected) {
      assertThat(view).as("rejected job %s", id).isEmpty();
    } else if (outcome instanceof SubmitOutcome.Accepted) {
      assertThat(view).as("accepted job %s", id).isPresent();
      List<JobView> ends = new ArrayList<>(List.of(JobView.COMPLETED, JobView.FAILED));
      if (cancelled.contains(id)) {
        ends.add(JobView.CANCELLED);
      }
      assertThat(ends).as("end of job %s", id).contains(view.get());
    }
  }
}

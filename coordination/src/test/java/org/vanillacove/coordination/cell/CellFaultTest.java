package org.vanillacove.coordination.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.vanillacove.coordination.api.CellTimings;
import org.vanillacove.coordination.api.CellView;
import org.vanillacove.coordination.api.ProposalOutcome;
import org.vanillacove.standin.memory.MemoryLog;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.api.WorkloadKind;

/** Tests {@link CellNode} under faults. */
class CellFaultTest {
  private static final TaskId TASK = new TaskId("job-1", 0);
  private static final int LEASE_SECONDS = (int) CellTimings.DEFAULTS.lease().toSeconds();
  private static final int HOUR_SECONDS = 3_600;

  @Test
  void lostAnswerIsAnsweredByAppendingAgain() {
    TestCell cell = settled(3, 3);
    cell.log.loseAnswers(2);

    CompletableFuture<ProposalOutcome> submitted = submit(cell, RerunPolicy.RERUN, LossPolicy.MOVE);
    cell.seconds(3);

    assertThat(submitted).isCompletedWithValueMatching(o -> o instanceof ProposalOutcome.Accepted);
    assertThat(cell.starts(TASK)).isEqualTo(1);
    assertThat(cell.node().jobs()).hasSize(1);
  }

  @Test
  void silentLogMakesTheAnswerUnknownAndTheRecordCountsLater() {
    TestCell cell = settled(3, 3);
    cell.log.setFault(MemoryLog.Fault.SILENT);
    CompletableFuture<ProposalOutcome> submitted = submit(cell, RerunPolicy.RERUN, LossPolicy.MOVE);
    cell.seconds(4);

    assertThat(submitted)
        .isCompletedWithValueMatching(
            o -> o instanceof ProposalOutcome.Unknown u && u.proposalId().equals("job-1"));
    cell.log.setFault(MemoryLog.Fault.NONE);
    cell.seconds(3);
    assertThat(cell.node().job("job-1")).isPresent();
  }

  @Test
  void refusingLogMakesTheAnswerNotAcceptedForGood() {
    TestCell cell = settled(3, 3);
    cell.log.setFault(MemoryLog.Fault.REFUSING);
    CompletableFuture<ProposalOutcome> submitted = submit(cell, RerunPolicy.RERUN, LossPolicy.MOVE);
    cell.seconds(4);
    cell.log.setFault(MemoryLog.Fault.NONE);
    cell.seconds(10);

    assertThat(submitted).isCompletedWithValueMatching(o -> o instanceof ProposalOutcome.Refused);
    assertThat(cell.node().jobs()).isEmpty();
  }

  @ParameterizedTest
  @EnumSource(LossPolicy.class)
  void runningWorkGoesOnThroughAnHourWithoutLog(LossPolicy loss) {
    TestCell cell = running(3, RerunPolicy.RERUN, loss);
    cell.log.setFault(MemoryLog.Fault.REFUSING);
    cell.seconds(HOUR_SECONDS);

    assertThat(cell.starts(TASK)).isEqualTo(1);
    assertThat(cell.placesOf(TASK)).hasSize(1);
    assertThat(cell.leader()).isPresent();
  }

  @Test
  void idempotentWorkIsRestartedWithoutLogAndRecordedLater() {
    TestCell cell = running(3, RerunPolicy.RERUN, LossPolicy.MOVE);
    cell.log.setFault(MemoryLog.Fault.REFUSING);
    cell.seconds(30);
    cell.workers.get(cell.placesOf(TASK).getFirst()).reboot();
    cell.seconds(10);

    assertThat(cell.placesOf(TASK)).hasSize(1);
    assertThat(cell.starts(TASK)).isEqualTo(2);
    cell.log.setFault(MemoryLog.Fault.NONE);
    cell.seconds(5);
    assertThat(taskView(cell).attempt()).isEqualTo(2);
  }

  @ParameterizedTest
  @EnumSource(LossPolicy.class)
  void deadLeaderWithoutLogEndsWorkThatMovesAndSparesWorkThatStays(LossPolicy loss) {
    TestCell cell = new TestCell(9, 9);
    cell.settle();
    submit(cell, RerunPolicy.RERUN, loss);
    cell.seconds(10);
    CellNode leader = cell.leader().orElseThrow();
    String worker = cell.placesOf(TASK).getFirst();
    boolean heldByLeader = leader.heldWorkers().contains(worker);
    cell.log.setFault(MemoryLog.Fault.REFUSING);
    cell.kill(leader.self().id());
    cell.seconds(10 * LEASE_SECONDS);

    boolean goesOn = loss == LossPolicy.KEEP && !heldByLeader;
    assertThat(cell.placesOf(TASK)).hasSize(goesOn ? 1 : 0);
    cell.log.setFault(MemoryLog.Fault.NONE);
    cell.seconds(60);
    assertThat(cell.placesOf(TASK)).hasSize(1);
    assertThat(cell.starts(TASK)).isEqualTo(goesOn ? 1 : 2);
  }

  @Test
  void silentWorkerLosesItsTaskOnlyAfterTheLapseIsCertain() {
    TestCell cell = running(3, RerunPolicy.RERUN, LossPolicy.MOVE);
    String first = cell.placesOf(TASK).getFirst();
    cell.gateway.setCutOff(first, true);
    for (int i = 0; i < 600; i++) {
      cell.timer.advance(100);
      assertThat(cell.placesOf(TASK).size()).isLessThanOrEqualTo(1);
    }

    assertThat(cell.placesOf(TASK)).hasSize(1).doesNotContain(first);
    assertThat(taskView(cell).attempt()).isEqualTo(2);
  }

  @Test
  void taskThatMayRunOnceIsUnknownAfterItsWorkerWasLost() {
    TestCell cell = running(3, RerunPolicy.AT_MOST_ONCE, LossPolicy.MOVE);
    cell.gateway.setCutOff(cell.placesOf(TASK).getFirst(), true);
    cell.seconds(60);

    assertThat(cell.starts(TASK)).isEqualTo(1);
    assertThat(taskView(cell))
        .isEqualTo(
            new CellView.TaskView(0, 1, Optional.empty(), Optional.of(TaskOutcome.UNKNOWN), true));
  }

  @Test
  void workThatStaysIsNotRestartedWhileItsRegionIsAwayUnlessDeclaredLost() {
    TestCell cell = new TestCell(9, 9);
    cell.settle();
    submit(cell, RerunPolicy.RERUN, LossPolicy.KEEP);
    cell.seconds(10);
    String worker = cell.placesOf(TASK).getFirst();
    String region = cell.workers.get(worker).spec().zone().region();
    CellNode leader = cell.leader().orElseThrow();
    if (leader.self().zone().region().equals(region)) {
      cell.kill(leader.self().id());
      cell.seconds(10);
    }
    cell.gateway.setCutOff(worker, true);
    List<String> inside = hostsIn(cell, region);
    inside.forEach(cell::kill);
    cell.seconds(HOUR_SECONDS);

    assertThat(cell.starts(TASK)).isEqualTo(1);
    CellNode outside = cell.leader().orElseThrow();
    outside.declareLost(region, Optional.empty(), "flooded", TestCell.DEADLINE);
    cell.seconds(5);
    assertThat(cell.starts(TASK)).isEqualTo(2);
    assertThat(outside.agreedHosts()).noneMatch(host -> inside.contains(host.id()));
  }

  @Test
  void partedRegionKeepsItsServicesForAnHour() {
    TestCell cell = new TestCell(9, 9);
    cell.settle();
    submit(cell, RerunPolicy.RERUN, LossPolicy.KEEP);
    cell.seconds(10);
    String worker = cell.placesOf(TASK).getFirst();
    String region = cell.workers.get(worker).spec().zone().region();
    part(cell, region, true);
    cell.seconds(HOUR_SECONDS);
    part(cell, region, false);
    cell.seconds(30);

    assertThat(cell.starts(TASK)).isEqualTo(1);
    assertThat(cell.placesOf(TASK)).containsExactly(worker);
  }

  @Test
  void oneWayLossOfLinksDoesNotUnseatTheLeader() {
    TestCell cell = settled(3, 3);
    String leader = cell.leader().orElseThrow().self().id();
    long epoch = cell.node().epoch();
    String deaf = cell.nodes.keySet().stream().filter(id -> !id.equals(leader)).findFirst().get();
    cell.network.setCut(leader, deaf, true);
    cell.seconds(120);

    assertThat(cell.node().epoch()).isEqualTo(epoch);
  }

  @Test
  void restartedHostFoldsWhatItMissed() {
    TestCell cell = settled(3, 3);
    String other = follower(cell);
    cell.kill(other);
    submit(cell, RerunPolicy.RERUN, LossPolicy.MOVE);
    cell.seconds(3);
    CellNode restarted = cell.startNode(other);
    cell.seconds(3);

    assertThat(restarted.jobs()).isEqualTo(cell.leader().orElseThrow().jobs());
  }

  @Test
  void hostStartsFromSnapshotAfterTheLogWasTrimmed() {
    TestCell cell = withSnapshot();
    String other = follower(cell);
    cell.kill(other);
    cell.log.trim(70);
    CellNode restarted = cell.startNode(other);
    cell.seconds(3);

    assertThat(restarted.jobs()).hasSize(60).isEqualTo(cell.leader().orElseThrow().jobs());
    assertThat(restarted.configurationVersion()).isPositive();
  }

  @Test
  void hostIgnoresIncompleteSnapshot() {
    TestCell cell = withSnapshot();
    String other = follower(cell);
    cell.kill(other);
    cell.log.trim(cell.log.endOffset());
    CellNode restarted = cell.startNode(other);
    cell.seconds(3);

    assertThat(restarted.jobs()).isEmpty();
    assertThat(restarted.isCaughtUp()).isFalse();
    assertThat(restarted.hasStanding()).isFalse();
  }

  @Test
  void pausedHostHasNoStandingWhenItWakes() {
    TestCell cell = new TestCell(1, 2);
    cell.settle();
    submit(cell, RerunPolicy.RERUN, LossPolicy.MOVE);
    cell.seconds(10);
    cell.timer.skip(4L * LEASE_SECONDS * 1_000);

    assertThat(cell.node().hasStanding()).isFalse();
    assertThat(cell.node().isLeader()).isFalse();
    cell.seconds(30);
    assertThat(cell.starts(TASK)).isEqualTo(2);
    assertThat(cell.placesOf(TASK)).hasSize(1);
  }

  @ParameterizedTest
  @EnumSource(RerunPolicy.class)
  void lostAnswersAndDeadLeaderTogetherStartTheTaskOnce(RerunPolicy rerun) {
    TestCell cell = settled(3, 3);
    cell.log.setFault(MemoryLog.Fault.LOSING_ANSWERS);
    CompletableFuture<ProposalOutcome> submitted =
        cell.nodes
            .get(follower(cell))
            .submitJob(
                "job-1",
                TestCell.job(WorkloadKind.BATCH, 1, rerun, LossPolicy.MOVE),
                TestCell.DEADLINE);
    cell.timer.advance(100);
    cell.kill(cell.leader().orElseThrow().self().id());
    cell.seconds(10);
    cell.log.setFault(MemoryLog.Fault.NONE);
    cell.seconds(30);

    assertThat(submitted).isCompletedWithValueMatching(o -> o instanceof ProposalOutcome.Accepted);
    assertThat(cell.starts(TASK)).isEqualTo(1);
    assertThat(cell.placesOf(TASK)).hasSize(1);
  }

  @Test
  void configurationRaceHasOneWinnerAndOneConflict() {
    TestCell cell = settled(3, 3);
    List<Long> seen = new ArrayList<>();
    cell.node().onConfiguration(version -> seen.add(version.version()));
    List<CompletableFuture<ProposalOutcome>> puts =
        cell.nodes.values().stream()
            .map(node -> node.putConfiguration(0, "{}", "op", "race", TestCell.DEADLINE))
            .toList();
    cell.seconds(3);

    assertThat(puts.stream().map(CompletableFuture::join))
        .filteredOn(outcome -> outcome instanceof ProposalOutcome.Accepted)
        .hasSize(1);
    assertThat(puts.stream().map(CompletableFuture::join))
        .filteredOn(outcome -> outcome instanceof ProposalOutcome.Conflict)
        .hasSize(2);
    assertThat(seen).hasSize(1);
    assertThat(cell.node().versionsInForce().values()).containsOnly(seen.getFirst());
  }

  @Test
  void leavingLeaderHandsOverAndLeavesTheMembership() {
    TestCell cell = running(3, RerunPolicy.RERUN, LossPolicy.MOVE);
    CellNode leader = cell.leader().orElseThrow();
    CompletableFuture<Void> left = leader.leave();
    cell.seconds(8);

    assertThat(left).isCompleted();
    cell.nodes.remove(leader.self().id());
    cell.network.remove(leader.self().id());
    cell.seconds(30);
    assertThat(cell.node().agreedHosts()).extracting(HostSpec::id).hasSize(2);
    assertThat(cell.leader()).isPresent();
    assertThat(cell.starts(TASK)).isEqualTo(1);
    assertThat(cell.placesOf(TASK)).hasSize(1);
  }

  @Test
  void cancelledJobIsStoppedEverywhere() {
    TestCell cell = running(3, RerunPolicy.RERUN, LossPolicy.KEEP);
    cell.node().cancelJob("job-1", "not needed", TestCell.DEADLINE);
    cell.seconds(2);

    assertThat(cell.placesOf(TASK)).isEmpty();
    assertThat(taskView(cell).settled()).isTrue();
  }

  @Test
  void drainedWorkerGetsNothingNew() {
    TestCell cell = settled(1, 1);
    cell.node().changeWorker("w0", WorkerStatus.DRAINING, "repair", TestCell.DEADLINE);
    cell.seconds(1);
    submit(cell, RerunPolicy.RERUN, LossPolicy.MOVE);
    cell.seconds(5);

    assertThat(cell.placesOf(TASK)).isEmpty();
    assertThat(cell.node().job("job-1").orElseThrow().waiting()).isPresent();
  }

  private static TestCell settled(int hosts, int workers) {
    TestCell cell = new TestCell(hosts, workers);
    cell.settle();
    return cell;
  }

  private static TestCell running(int hosts, RerunPolicy rerun, LossPolicy loss) {
    TestCell cell = settled(hosts, 3);
    submit(cell, rerun, loss);
    cell.seconds(10);
    assertThat(cell.placesOf(TASK)).hasSize(1);
    return cell;
  }

  private static CompletableFuture<ProposalOutcome> submit(
      TestCell cell, RerunPolicy rerun, LossPolicy loss) {
    return submit(cell, "job-1", rerun, loss);
  }

  private static CompletableFuture<ProposalOutcome> submit(
      TestCell cell, String id, RerunPolicy rerun, LossPolicy loss) {
    return cell.node()
        .submitJob(id, TestCell.job(WorkloadKind.BATCH, 1, rerun, loss), TestCell.DEADLINE);
  }

  /** Returns a cell whose log holds a complete snapshot behind its first seventy records. */
  private static TestCell withSnapshot() {
    TestCell cell = settled(3, 3);
    for (int i = 0; i < 60; i++) {
      submit(cell, "old-" + i, RerunPolicy.RERUN, LossPolicy.MOVE);
    }
    cell.node().putConfiguration(0, "{\"a\":1}", "operator", "first", TestCell.DEADLINE);
    cell.seconds(660);
    return cell;
  }

  private static CellView.TaskView taskView(TestCell cell) {
    return cell.leader().orElseThrow().job("job-1").orElseThrow().tasks().getFirst();
  }

  private static String follower(TestCell cell) {
    String leader = cell.leader().orElseThrow().self().id();
    return cell.nodes.keySet().stream().filter(id -> !id.equals(leader)).findFirst().orElseThrow();
  }

  private static List<String> hostsIn(TestCell cell, String region) {
    return cell.nodes.values().stream()
        .filter(node -> node.self().zone().region().equals(region))
        .map(node -> node.self().id())
        .toList();
  }

  private static void part(TestCell cell, String region, boolean parted) {
    List<String> inside = hostsIn(cell, region);
    for (String host : cell.nodes.keySet()) {
      for (String other : cell.nodes.keySet()) {
        if (inside.contains(host) != inside.contains(other)) {
          cell.network.setCut(host, other, parted);
        }
      }
    }
  }
}

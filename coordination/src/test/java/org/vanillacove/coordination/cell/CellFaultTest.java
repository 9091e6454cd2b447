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

/** Tests {@link CellNode} under faults of the log, hosts, links and workers. */
class CellFaultTest {
  private static final TaskId TASK = new TaskId("job-1", 0);
  private static final int LEASE_SECONDS = (int) CellTimings.DEFAULTS.lease().toSeconds();
  private static final int HOUR_SECONDS = 3_600;

  @Test
  void lostAppendResponseIsRecoveredByAppendingAgain() {
    TestCell cell = readyCell(3, 3);
    cell.log.loseResponses(2);

    CompletableFuture<ProposalOutcome> submitted = submit(cell, RerunPolicy.RERUN, LossPolicy.MOVE);
    cell.advanceSeconds(3);

    assertThat(submitted).isCompletedWithValueMatching(o -> o instanceof ProposalOutcome.Accepted);
    assertThat(cell.startsOf(TASK)).isEqualTo(1);
    assertThat(cell.node().jobs()).hasSize(1);
  }

  @Test
  void unresponsiveLogLeavesOutcomeUnknownAndRecordIsAppliedLater() {
    TestCell cell = readyCell(3, 3);
    cell.log.setFault(MemoryLog.Fault.SILENT);
    CompletableFuture<ProposalOutcome> submitted = submit(cell, RerunPolicy.RERUN, LossPolicy.MOVE);
    cell.advanceSeconds(4);

    assertThat(submitted)
        .isCompletedWithValueMatching(
            o -> o instanceof ProposalOutcome.Unknown u && u.proposalId().equals("job-1"));
    cell.log.setFault(MemoryLog.Fault.NONE);
    cell.advanceSeconds(3);
    assertThat(cell.node().job("job-1")).isPresent();
  }

  @Test
  void recordRefusedByLogIsNeverApplied() {
    TestCell cell = readyCell(3, 3);
    cell.log.setFault(MemoryLog.Fault.REFUSING);
    CompletableFuture<ProposalOutcome> submitted = submit(cell, RerunPolicy.RERUN, LossPolicy.MOVE);
    cell.advanceSeconds(4);
    cell.log.setFault(MemoryLog.Fault.NONE);
    cell.advanceSeconds(10);

    assertThat(submitted).isCompletedWithValueMatching(o -> o instanceof ProposalOutcome.Refused);
    assertThat(cell.node().jobs()).isEmpty();
  }

  @ParameterizedTest
  @EnumSource(LossPolicy.class)
  void runningTaskSurvivesOneHourLogOutage(LossPolicy loss) {
    TestCell cell = cellWithRunningTask(3, RerunPolicy.RERUN, loss);
    cell.log.setFault(MemoryLog.Fault.REFUSING);
    cell.advanceSeconds(HOUR_SECONDS);

    assertThat(cell.startsOf(TASK)).isEqualTo(1);
    assertThat(cell.workersRunning(TASK)).hasSize(1);
    assertThat(cell.leader()).isPresent();
  }

  @Test
  void rerunnableTaskRestartsDuringLogOutageAndIsRecordedLater() {
    TestCell cell = cellWithRunningTask(3, RerunPolicy.RERUN, LossPolicy.MOVE);
    cell.log.setFault(MemoryLog.Fault.REFUSING);
    cell.advanceSeconds(30);
    cell.workers.get(cell.workersRunning(TASK).getFirst()).reboot();
    cell.advanceSeconds(10);

    assertThat(cell.workersRunning(TASK)).hasSize(1);
    assertThat(cell.startsOf(TASK)).isEqualTo(2);
    cell.log.setFault(MemoryLog.Fault.NONE);
    cell.advanceSeconds(5);
    assertThat(taskView(cell).attempt()).isEqualTo(2);
  }

  @ParameterizedTest
  @EnumSource(LossPolicy.class)
  void leaderFailureDuringLogOutageEndsOnlyTasksThatMove(LossPolicy loss) {
    TestCell cell = new TestCell(9, 9);
    cell.awaitReady();
    submit(cell, RerunPolicy.RERUN, loss);
    cell.advanceSeconds(10);
    CellNode leader = cell.leader().orElseThrow();
    String worker = cell.workersRunning(TASK).getFirst();
    boolean heldByLeader = leader.heldWorkers().contains(worker);
    cell.log.setFault(MemoryLog.Fault.REFUSING);
    cell.kill(leader.self().id());
    cell.advanceSeconds(10 * LEASE_SECONDS);

    boolean keepsRunning = loss == LossPolicy.KEEP && !heldByLeader;
    assertThat(cell.workersRunning(TASK)).hasSize(keepsRunning ? 1 : 0);
    cell.log.setFault(MemoryLog.Fault.NONE);
    cell.advanceSeconds(60);
    assertThat(cell.workersRunning(TASK)).hasSize(1);
    assertThat(cell.startsOf(TASK)).isEqualTo(keepsRunning ? 1 : 2);
  }

  @Test
  void taskOfUnresponsiveWorkerRestartsOnlyAfterItsLeaseExpired() {
    TestCell cell = cellWithRunningTask(3, RerunPolicy.RERUN, LossPolicy.MOVE);
    String first = cell.workersRunning(TASK).getFirst();
    cell.gateway.setUnreachable(first, true);
    for (int i = 0; i < 600; i++) {
      cell.timer.advance(100);
      assertThat(cell.workersRunning(TASK).size()).isLessThanOrEqualTo(1);
    }

    assertThat(cell.workersRunning(TASK)).hasSize(1).doesNotContain(first);
    assertThat(taskView(cell).attempt()).isEqualTo(2);
  }

  @Test
  void atMostOnceTaskOfLostWorkerEndsUnknown() {
    TestCell cell = cellWithRunningTask(3, RerunPolicy.AT_MOST_ONCE, LossPolicy.MOVE);
    cell.gateway.setUnreachable(cell.workersRunning(TASK).getFirst(), true);
    cell.advanceSeconds(60);

    assertThat(cell.startsOf(TASK)).isEqualTo(1);
    assertThat(taskView(cell))
        .isEqualTo(
            new CellView.TaskView(0, 1, Optional.empty(), Optional.of(TaskOutcome.UNKNOWN), true));
  }

  @Test
  void keptTaskRestartsOnlyAfterItsFailedRegionIsDeclaredLost() {
    TestCell cell = new TestCell(9, 9);
    cell.awaitReady();
    submit(cell, RerunPolicy.RERUN, LossPolicy.KEEP);
    cell.advanceSeconds(10);
    String worker = cell.workersRunning(TASK).getFirst();
    String region = cell.workers.get(worker).spec().zone().region();
    CellNode leader = cell.leader().orElseThrow();
    if (leader.self().zone().region().equals(region)) {
      cell.kill(leader.self().id());
      cell.advanceSeconds(10);
    }
    cell.gateway.setUnreachable(worker, true);
    List<String> hostsInRegion = hostsIn(cell, region);
    hostsInRegion.forEach(cell::kill);
    cell.advanceSeconds(HOUR_SECONDS);

    assertThat(cell.startsOf(TASK)).isEqualTo(1);
    CellNode remainingLeader = cell.leader().orElseThrow();
    remainingLeader.declareLost(region, Optional.empty(), "flooded", TestCell.DEADLINE);
    cell.advanceSeconds(5);
    assertThat(cell.startsOf(TASK)).isEqualTo(2);
    assertThat(remainingLeader.agreedHosts()).noneMatch(host -> hostsInRegion.contains(host.id()));
  }

  @Test
  void partitionedRegionKeepsItsTaskForOneHour() {
    TestCell cell = new TestCell(9, 9);
    cell.awaitReady();
    submit(cell, RerunPolicy.RERUN, LossPolicy.KEEP);
    cell.advanceSeconds(10);
    String worker = cell.workersRunning(TASK).getFirst();
    String region = cell.workers.get(worker).spec().zone().region();
    setPartitioned(cell, region, true);
    cell.advanceSeconds(HOUR_SECONDS);
    setPartitioned(cell, region, false);
    cell.advanceSeconds(30);

    assertThat(cell.startsOf(TASK)).isEqualTo(1);
    assertThat(cell.workersRunning(TASK)).containsExactly(worker);
  }

  @Test
  void oneWayLinkLossDoesNotChangeTheLeader() {
    TestCell cell = readyCell(3, 3);
    String leader = cell.leader().orElseThrow().self().id();
    long epoch = cell.node().epoch();
    String isolatedFollower =
        cell.nodes.keySet().stream().filter(id -> !id.equals(leader)).findFirst().get();
    cell.network.setCut(leader, isolatedFollower, true);
    cell.advanceSeconds(120);

    assertThat(cell.node().epoch()).isEqualTo(epoch);
  }

  @Test
  void restartedHostAppliesMissedRecords() {
    TestCell cell = readyCell(3, 3);
    String otherHost = followerId(cell);
    cell.kill(otherHost);
    submit(cell, RerunPolicy.RERUN, LossPolicy.MOVE);
    cell.advanceSeconds(3);
    CellNode restarted = cell.startNode(otherHost);
    cell.advanceSeconds(3);

    assertThat(restarted.jobs()).isEqualTo(cell.leader().orElseThrow().jobs());
  }

  @Test
  void hostStartsFromSnapshotAfterTheLogWasTrimmed() {
    TestCell cell = cellWithSnapshot();
    String otherHost = followerId(cell);
    cell.kill(otherHost);
    cell.log.trim(70);
    CellNode restarted = cell.startNode(otherHost);
    cell.advanceSeconds(3);

    assertThat(restarted.jobs()).hasSize(60).isEqualTo(cell.leader().orElseThrow().jobs());
    assertThat(restarted.configurationVersion()).isPositive();
  }

  @Test
  void hostIgnoresIncompleteSnapshot() {
    TestCell cell = cellWithSnapshot();
    String otherHost = followerId(cell);
    cell.kill(otherHost);
    cell.log.trim(cell.log.endOffset());
    CellNode restarted = cell.startNode(otherHost);
    cell.advanceSeconds(3);

    assertThat(restarted.jobs()).isEmpty();
    assertThat(restarted.isCaughtUp()).isFalse();
    assertThat(restarted.hasHostLease()).isFalse();
  }

  @Test
  void hostLeaseHasExpiredWhenPausedHostResumes() {
    TestCell cell = new TestCell(1, 2);
    cell.awaitReady();
    submit(cell, RerunPolicy.RERUN, LossPolicy.MOVE);
    cell.advanceSeconds(10);
    cell.timer.advanceWithoutTimers(4L * LEASE_SECONDS * 1_000);

    assertThat(cell.node().hasHostLease()).isFalse();
    assertThat(cell.node().isLeader()).isFalse();
    cell.advanceSeconds(30);
    assertThat(cell.startsOf(TASK)).isEqualTo(2);
    assertThat(cell.workersRunning(TASK)).hasSize(1);
  }

  @ParameterizedTest
  @EnumSource(RerunPolicy.class)
  void lostAppendResponsesAndLeaderFailureStartTheTaskOnce(RerunPolicy rerun) {
    TestCell cell = readyCell(3, 3);
    cell.log.setFault(MemoryLog.Fault.LOSING_ANSWERS);
    CompletableFuture<ProposalOutcome> submitted =
        cell.nodes
            .get(followerId(cell))
            .submitJob(
                "job-1",
                TestCell.job(WorkloadKind.BATCH, 1, rerun, LossPolicy.MOVE),
                TestCell.DEADLINE);
    cell.timer.advance(100);
    cell.kill(cell.leader().orElseThrow().self().id());
    cell.advanceSeconds(10);
    cell.log.setFault(MemoryLog.Fault.NONE);
    cell.advanceSeconds(30);

    assertThat(submitted).isCompletedWithValueMatching(o -> o instanceof ProposalOutcome.Accepted);
    assertThat(cell.startsOf(TASK)).isEqualTo(1);
    assertThat(cell.workersRunning(TASK)).hasSize(1);
  }

  @Test
  void concurrentConfigurationChangesAcceptOneAndRejectTheOthers() {
    TestCell cell = readyCell(3, 3);
    List<Long> seen = new ArrayList<>();
    cell.node().onConfiguration(version -> seen.add(version.version()));
    List<CompletableFuture<ProposalOutcome>> puts =
        cell.nodes.values().stream()
            .map(node -> node.putConfiguration(0, "{}", "op", "race", TestCell.DEADLINE))
            .toList();
    cell.advanceSeconds(3);

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
    TestCell cell = cellWithRunningTask(3, RerunPolicy.RERUN, LossPolicy.MOVE);
    CellNode leader = cell.leader().orElseThrow();
    CompletableFuture<Void> left = leader.leave();
    cell.advanceSeconds(8);

    assertThat(left).isCompleted();
    cell.nodes.remove(leader.self().id());
    cell.network.remove(leader.self().id());
    cell.advanceSeconds(30);
    assertThat(cell.node().agreedHosts()).extracting(HostSpec::id).hasSize(2);
    assertThat(cell.leader()).isPresent();
    assertThat(cell.startsOf(TASK)).isEqualTo(1);
    assertThat(cell.workersRunning(TASK)).hasSize(1);
  }

  @Test
  void cancelledJobIsStoppedEverywhere() {
    TestCell cell = cellWithRunningTask(3, RerunPolicy.RERUN, LossPolicy.KEEP);
    cell.node().cancelJob("job-1", "not needed", TestCell.DEADLINE);
    cell.advanceSeconds(2);

    assertThat(cell.workersRunning(TASK)).isEmpty();
    assertThat(taskView(cell).settled()).isTrue();
  }

  @Test
  void drainingWorkerGetsNoNewTasks() {
    TestCell cell = readyCell(1, 1);
    cell.node().changeWorker("w0", WorkerStatus.DRAINING, "repair", TestCell.DEADLINE);
    cell.advanceSeconds(1);
    submit(cell, RerunPolicy.RERUN, LossPolicy.MOVE);
    cell.advanceSeconds(5);

    assertThat(cell.workersRunning(TASK)).isEmpty();
    assertThat(cell.node().job("job-1").orElseThrow().waiting()).isPresent();
  }

  private static TestCell readyCell(int hosts, int workers) {
    TestCell cell = new TestCell(hosts, workers);
    cell.awaitReady();
    return cell;
  }

  private static TestCell cellWithRunningTask(int hosts, RerunPolicy rerun, LossPolicy loss) {
    TestCell cell = readyCell(hosts, 3);
    submit(cell, rerun, loss);
    cell.advanceSeconds(10);
    assertThat(cell.workersRunning(TASK)).hasSize(1);
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

  /** Returns a cell whose log holds a complete snapshot after its first 70 records. */
  private static TestCell cellWithSnapshot() {
    TestCell cell = readyCell(3, 3);
    for (int i = 0; i < 60; i++) {
      submit(cell, "old-" + i, RerunPolicy.RERUN, LossPolicy.MOVE);
    }
    cell.node().putConfiguration(0, "{\"a\":1}", "operator", "first", TestCell.DEADLINE);
    cell.advanceSeconds(660);
    return cell;
  }

  private static CellView.TaskView taskView(TestCell cell) {
    return cell.leader().orElseThrow().job("job-1").orElseThrow().tasks().getFirst();
  }

  private static String followerId(TestCell cell) {
    String leader = cell.leader().orElseThrow().self().id();
    return cell.nodes.keySet().stream().filter(id -> !id.equals(leader)).findFirst().orElseThrow();
  }

  private static List<String> hostsIn(TestCell cell, String region) {
    return cell.nodes.values().stream()
        .filter(node -> node.self().zone().region().equals(region))
        .map(node -> node.self().id())
        .toList();
  }

  private static void setPartitioned(TestCell cell, String region, boolean partitioned) {
    List<String> hostsInRegion = hostsIn(cell, region);
    for (String host : cell.nodes.keySet()) {
      for (String otherHost : cell.nodes.keySet()) {
        if (hostsInRegion.contains(host) != hostsInRegion.contains(otherHost)) {
          cell.network.setCut(host, otherHost, partitioned);
        }
      }
    }
  }
}

package org.vanillacove.bench.faults;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.vanillacove.coordination.api.ProposalOutcome;
import org.vanillacove.coordination.cell.CellNode;
import org.vanillacove.coordination.scheduling.SafetyRules;
import org.vanillacove.protocol.platform.WorkerCommand;
import org.vanillacove.standin.memory.MemoryLog;
import org.vanillacove.standin.memory.WorkerModel;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.PlacementConstraints;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkloadKind;

/** Random schedule of operator requests and faults, determined by its seed alone. */
public final class FaultSchedule {
  /** Number of random actions in a schedule. */
  private static final int STEPS = 40;

  /** Time before the first action, in milliseconds. */
  private static final long STARTUP_MILLIS = 6_000;

  /** Time between the repair of all faults and the last check, in milliseconds. */
  private static final long SETTLE_MILLIS = 45_000;

  /** Time between two checks of the invariants, in milliseconds. */
  private static final long CHECK_INTERVAL_MILLIS = 500;

  /** Maximum duration of a fault, in milliseconds. */
  private static final int MAX_FAULT_MILLIS = 20_000;

  /** Deadline of operator requests. */
  private static final Duration DEADLINE = Duration.ofSeconds(2);

  /** Source of all random choices, seeded with the number of the schedule. */
  private final RandomGenerator random;

  /** Cell under test. */
  private final FaultyCell cell;

  /** Checks the invariants of the cell. */
  private final InvariantCheck check;

  /** Loses regions and restores them; at most one is lost at a time. */
  private final RegionLoss regionLoss;

  /** Actions that end the lasting faults, all run again before the last check. */
  private final List<Runnable> repairs = new ArrayList<>();

  /** Actions so far with their times in milliseconds, appended to the report of a violation. */
  private final StringBuilder trace = new StringBuilder();

  /** Number of jobs submitted so far, which gives the next job its identifier. */
  private int jobCount;

  /** Creates the schedule of a seed; the cell runs with the given safety rules. */
  public FaultSchedule(long seed, SafetyRules rules) {
    random = new Well19937c(seed);
    int hostCount = 3 + random.nextInt(3);
    cell = new FaultyCell(hostCount, 4, rules, this::planEnd, random);
    check = new InvariantCheck(cell);
    regionLoss = new RegionLoss(cell, random);
  }

  /** Runs the schedule up to the first violation and returns it, empty if there is none. */
  public Optional<String> run() {
    Optional<String> violation = advance(STARTUP_MILLIS);
    for (int i = 0; i < STEPS && violation.isEmpty(); i++) {
      performRandomAction();
      violation = advance(nextIntervalMillis());
    }
    if (violation.isEmpty()) {
      repairAll();
      violation = advance(SETTLE_MILLIS).or(check::checkSettled);
    }
    cell.liveNodes.values().forEach(CellNode::close);
    return violation.map(text -> text + " after:" + trace);
  }

  private long nextIntervalMillis() {
    return random.nextInt(4) == 0 ? 2_000 + random.nextInt(6_000) : random.nextInt(600);
  }

  private Optional<String> advance(long millis) {
    long left = millis;
    while (left > 0) {
      long step = Math.min(left, CHECK_INTERVAL_MILLIS);
      cell.clock.advance(step);
      left -= step;
      Optional<String> violation = check.checkNow();
      if (violation.isPresent()) {
        return violation;
      }
    }
    return Optional.empty();
  }

  private void performRandomAction() {
    switch (random.nextInt(19)) {
      case 0, 1, 2, 3 -> submit();
      case 4 -> cancel();
      case 5 -> configure();
      case 6 -> killHost(randomHost());
      case 7 -> cell.leader().ifPresent(this::killHost);
      case 8 -> pauseHost();
      case 9 -> cutLink();
      case 10 -> partitionRegion();
      case 11 -> failLog();
      case 12 -> loseAnswers();
      case 13 -> cutWorker();
      case 14 -> rebootWorker();
      case 15 -> trimLog();
      case 16 -> cutWorkerFromHost();
      case 17 -> loseRegion();
      default -> killLeaderDuringSubmission();
    }
  }

  private Optional<WorkerModel.PlannedEnd> planEnd(WorkerCommand.Start start) {
    if (!start.command().equals("ends")) {
      return Optional.empty();
    }
    TaskOutcome outcome =
        Math.floorMod(start.task().hashCode() + start.attempt(), 3) == 0
            ? TaskOutcome.FAILED
            : TaskOutcome.SUCCEEDED;
    return Optional.of(new WorkerModel.PlannedEnd(3_000, outcome));
  }

  private void submit() {
    boolean ends = random.nextBoolean();
    boolean service = !ends && random.nextBoolean();
    JobSpec spec =
        new JobSpec(
            "job",
            "team",
            service ? WorkloadKind.SERVICE : WorkloadKind.BATCH,
            PriorityClass.NORMAL,
            1 + random.nextInt(2),
            new Resources(100, 100, 0),
            PlacementConstraints.ANY,
            random.nextBoolean() ? RerunPolicy.RERUN : RerunPolicy.AT_MOST_ONCE,
            random.nextBoolean() ? LossPolicy.KEEP : LossPolicy.MOVE,
            false,
            0,
            ends ? "ends" : "stays");
    String id = "j" + jobCount++;
    check.submitted(id, spec);
    recordAction("submit " + id + " " + spec.rerun() + " " + spec.loss());
    randomNode()
        .ifPresent(
            node ->
                node.submitJob(id, spec, DEADLINE)
                    .thenAccept(
                        outcome -> {
                          switch (outcome) {
                            case ProposalOutcome.Accepted done -> check.accepted(id);
                            case ProposalOutcome.Refused no -> check.refused(id);
                            default -> {}
                          }
                        }));
  }

  private void cancel() {
    if (jobCount > 0) {
      String id = "j" + random.nextInt(jobCount);
      recordAction("cancel " + id);
      check.cancelled(id);
      randomNode().ifPresent(node -> node.cancelJob(id, "not needed", DEADLINE));
    }
  }

  private void configure() {
    recordAction("configure");
    Optional<CellNode> node = randomNode();
    if (node.isPresent()) {
      CompletableFuture<ProposalOutcome> put =
          node.get()
              .putConfiguration(
                  node.get().configurationVersion(), "{}", "operator", "a change", DEADLINE);
      put.thenAccept(
          outcome -> {
            if (outcome instanceof ProposalOutcome.Accepted done) {
              check.configured(done.offset());
            }
          });
    }
  }

  private void killHost(String hostId) {
    if (cell.liveNodes.containsKey(hostId)) {
      recordAction("kill " + hostId);
      cell.kill(hostId);
      long back = 500L + random.nextInt(MAX_FAULT_MILLIS);
      repairAfter(back, () -> startHost(hostId));
    }
  }

  private void startHost(String hostId) {
    if (!cell.liveNodes.containsKey(hostId) && !regionLoss.hasLostHost(hostId)) {
      cell.start(hostId);
    }
  }

  private void pauseHost() {
    String hostId = randomHost();
    FaultyHost process = cell.processes.get(hostId);
    if (process != null && !process.isPaused()) {
      recordAction("pause " + hostId);
      process.pause();
      repairAfter(500 + random.nextInt(MAX_FAULT_MILLIS), process::resume);
    }
  }

  private void cutLink() {
    String from = randomHost();
    String to = randomHost();
    recordAction("cut " + from + ">" + to);
    cell.network.setCut(from, to, true);
    repairAfter(random.nextInt(MAX_FAULT_MILLIS), () -> cell.network.setCut(from, to, false));
  }

  private void partitionRegion() {
    String region = "region-" + random.nextInt(FaultyCell.REGIONS);
    boolean withoutLog = random.nextBoolean();
    recordAction("part " + region + (withoutLog ? " without log" : ""));
    setPartitioned(region, true, withoutLog);
    repairAfter(random.nextInt(MAX_FAULT_MILLIS), () -> setPartitioned(region, false, true));
  }

  private void setPartitioned(String region, boolean parted, boolean withLog) {
    for (HostSpec host : cell.hosts) {
      boolean inside = host.zone().region().equals(region);
      for (HostSpec other : cell.hosts) {
        if (inside != other.zone().region().equals(region)) {
          cell.network.setCut(host.id(), other.id(), parted);
        }
      }
      FaultyHost process = cell.processes.get(host.id());
      if (process != null) {
        for (WorkerModel worker : cell.workers.values()) {
          if (inside != worker.spec().zone().region().equals(region)) {
            process.setWorkerCut(worker.spec().id(), parted);
          }
        }
        if (inside && withLog) {
          process.setLogCut(parted);
        }
      }
    }
  }

  private void failLog() {
    MemoryLog.Fault[] faults = MemoryLog.Fault.values();
    MemoryLog.Fault fault = faults[1 + random.nextInt(faults.length - 1)];
    recordAction("log " + fault);
    cell.log.setFault(fault);
    repairAfter(
        500 + random.nextInt(MAX_FAULT_MILLIS), () -> cell.log.setFault(MemoryLog.Fault.NONE));
  }

  private void loseAnswers() {
    recordAction("lose answers");
    cell.log.loseResponses(1 + random.nextInt(5));
  }

  private void cutWorker() {
    String workerId = "w" + random.nextInt(cell.workers.size());
    boolean replies = random.nextBoolean();
    recordAction((replies ? "lose replies of " : "cut ") + workerId);
    if (replies) {
      cell.gateway.setLosingReplies(workerId, true);
    } else {
      cell.gateway.setUnreachable(workerId, true);
    }
    repairAfter(
        500 + random.nextInt(MAX_FAULT_MILLIS),
        () -> {
          cell.gateway.setLosingReplies(workerId, false);
          cell.gateway.setUnreachable(workerId, regionLoss.hasLostWorker(workerId));
        });
  }

  /** Cuts a worker off from one host, which may be the leader or hold the worker's session. */
  private void cutWorkerFromHost() {
    String hostId = randomHost();
    String workerId = "w" + random.nextInt(cell.workers.size());
    FaultyHost process = cell.processes.get(hostId);
    if (process != null) {
      recordAction("cut " + workerId + " from " + hostId);
      process.setWorkerCut(workerId, true);
      repairAfter(
          500 + random.nextInt(MAX_FAULT_MILLIS), () -> process.setWorkerCut(workerId, false));
    }
  }

  private void loseRegion() {
    String region = "region-" + random.nextInt(FaultyCell.REGIONS);
    if (!regionLoss.isActive()) {
      recordAction("lose " + region);
      regionLoss.lose(region);
    }
  }

  private void rebootWorker() {
    String workerId = "w" + random.nextInt(cell.workers.size());
    recordAction("reboot " + workerId);
    cell.workers.get(workerId).reboot();
  }

  /** Trims the log up to the end of what its newest complete snapshot covers. */
  private void trimLog() {
    long offset = SnapshotScan.firstUncoveredOffset(cell.log);
    recordAction("trim to " + offset);
    cell.log.trim(offset);
  }

  /** Submits a job, then kills the leader and cuts off a worker while its tasks may be starting. */
  private void killLeaderDuringSubmission() {
    submit();
    cell.clock.advance(random.nextInt(500));
    cell.leader().ifPresent(this::killHost);
    cutWorker();
  }

  private void repairAfter(long millis, Runnable heal) {
    repairs.add(heal);
    cell.clock.after(Duration.ofMillis(millis), heal);
  }

  private void repairAll() {
    repairs.forEach(Runnable::run);
  }

  private String randomHost() {
    return cell.hosts.get(random.nextInt(cell.hosts.size())).id();
  }

  private Optional<CellNode> randomNode() {
    return Optional.ofNullable(cell.liveNodes.get(randomHost()));
  }

  private void recordAction(String text) {
    trace.append(' ').append(cell.clock.monotonicMillis()).append(' ').append(text).append(';');
  }
}

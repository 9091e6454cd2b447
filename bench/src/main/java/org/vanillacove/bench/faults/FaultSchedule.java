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

/** One random schedule of work and faults, a function of its seed. */
public final class FaultSchedule {
  /** Steps of work and faults. */
  private static final int STEPS = 40;

  /** Time before the first fault in milliseconds. */
  private static final long START_MILLIS = 6_000;

  /** Time after the last fault in milliseconds. */
  private static final long SETTLE_MILLIS = 45_000;

  /** Time between two checks in milliseconds. */
  private static final long CHECK_MILLIS = 500;

  /** Longest time of a fault in milliseconds. */
  private static final int LONGEST_FAULT_MILLIS = 20_000;

  /** Deadline of operators' calls. */
  private static final Duration DEADLINE = Duration.ofSeconds(2);

  /** Random numbers of the schedule. */
  private final RandomGenerator random;

  /** The cell. */
  private final FaultyCell cell;

  /** Checks of the cell. */
  private final InvariantCheck check;

  /** The loss of a region. */
  private final RegionLoss loss;

  /** Ends of faults that last. */
  private final List<Runnable> heals = new ArrayList<>();

  /** What was done, for a report of a violation. */
  private final StringBuilder story = new StringBuilder();

  /** Number of the newest job. */
  private int jobs;

  /** Creates the schedule of a seed under given rules. */
  public FaultSchedule(long seed, SafetyRules rules) {
    random = new Well19937c(seed);
    int hostCount = 3 + random.nextInt(3);
    cell = new FaultyCell(hostCount, 4, rules, this::planEnd, random);
    check = new InvariantCheck(cell);
    loss = new RegionLoss(cell, random);
  }

  /** Runs the schedule and returns the violation found, empty if there is none. */
  public Optional<String> run() {
    Optional<String> violation = advance(START_MILLIS);
    for (int i = 0; i < STEPS && violation.isEmpty(); i++) {
      act();
      violation = advance(gap());
    }
    if (violation.isEmpty()) {
      healAll();
      violation = advance(SETTLE_MILLIS).or(check::settled);
    }
    cell.nodes.values().forEach(CellNode::close);
    return violation.map(text -> text + " after:" + story);
  }

  private long gap() {
    return random.nextInt(4) == 0 ? 2_000 + random.nextInt(6_000) : random.nextInt(600);
  }

  private Optional<String> advance(long millis) {
    long left = millis;
    while (left > 0) {
      long step = Math.min(left, CHECK_MILLIS);
      cell.clock.advance(step);
      left -= step;
      Optional<String> violation = check.now();
      if (violation.isPresent()) {
        return violation;
      }
    }
    return Optional.empty();
  }

  private void act() {
    switch (random.nextInt(19)) {
      case 0, 1, 2, 3 -> submit();
      case 4 -> cancel();
      case 5 -> configure();
      case 6 -> killHost(randomHost());
      case 7 -> cell.leader().ifPresent(this::killHost);
      case 8 -> pauseHost();
      case 9 -> cutLink();
      case 10 -> partRegion();
      case 11 -> failLog();
      case 12 -> loseAnswers();
      case 13 -> cutWorker();
      case 14 -> rebootWorker();
      case 15 -> trimLog();
      case 16 -> cutWorkerFromHost();
      case 17 -> loseRegion();
      default -> strike();
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
    String id = "j" + jobs++;
    check.submitted(id, spec);
    tell("submit " + id + " " + spec.rerun() + " " + spec.loss());
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
    if (jobs > 0) {
      String id = "j" + random.nextInt(jobs);
      tell("cancel " + id);
      check.cancelled(id);
      randomNode().ifPresent(node -> node.cancelJob(id, "not needed", DEADLINE));
    }
  }

  private void configure() {
    tell("configure");
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
    if (cell.nodes.containsKey(hostId)) {
      tell("kill " + hostId);
      cell.kill(hostId);
      long back = 500L + random.nextInt(LONGEST_FAULT_MILLIS);
      healLater(back, () -> startHost(hostId));
    }
  }

  private void startHost(String hostId) {
    if (!cell.nodes.containsKey(hostId) && !loss.hasLostHost(hostId)) {
      cell.start(hostId);
    }
  }

  private void pauseHost() {
    String hostId = randomHost();
    FaultyHost process = cell.processes.get(hostId);
    if (process != null && !process.isPaused()) {
      tell("pause " + hostId);
      process.pause();
      healLater(500 + random.nextInt(LONGEST_FAULT_MILLIS), process::resume);
    }
  }

  private void cutLink() {
    String from = randomHost();
    String to = randomHost();
    tell("cut " + from + ">" + to);
    cell.network.setCut(from, to, true);
    healLater(random.nextInt(LONGEST_FAULT_MILLIS), () -> cell.network.setCut(from, to, false));
  }

  private void partRegion() {
    String region = "region-" + random.nextInt(FaultyCell.REGIONS);
    boolean withoutLog = random.nextBoolean();
    tell("part " + region + (withoutLog ? " without log" : ""));
    setParted(region, true, withoutLog);
    healLater(random.nextInt(LONGEST_FAULT_MILLIS), () -> setParted(region, false, true));
  }

  private void setParted(String region, boolean parted, boolean withLog) {
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
    tell("log " + fault);
    cell.log.setFault(fault);
    healLater(
        500 + random.nextInt(LONGEST_FAULT_MILLIS), () -> cell.log.setFault(MemoryLog.Fault.NONE));
  }

  private void loseAnswers() {
    tell("lose answers");
    cell.log.loseAnswers(1 + random.nextInt(5));
  }

  private void cutWorker() {
    String workerId = "w" + random.nextInt(cell.workers.size());
    boolean replies = random.nextBoolean();
    tell((replies ? "lose replies of " : "cut ") + workerId);
    if (replies) {
      cell.gateway.setLosingReplies(workerId, true);
    } else {
      cell.gateway.setCutOff(workerId, true);
    }
    healLater(
        500 + random.nextInt(LONGEST_FAULT_MILLIS),
        () -> {
          cell.gateway.setLosingReplies(workerId, false);
          cell.gateway.setCutOff(workerId, loss.hasLostWorker(workerId));
        });
  }

  /** Cuts a worker off from one host, which may be the leader or the holder of its session. */
  private void cutWorkerFromHost() {
    String hostId = randomHost();
    String workerId = "w" + random.nextInt(cell.workers.size());
    FaultyHost process = cell.processes.get(hostId);
    if (process != null) {
      tell("cut " + workerId + " from " + hostId);
      process.setWorkerCut(workerId, true);
      healLater(
          500 + random.nextInt(LONGEST_FAULT_MILLIS), () -> process.setWorkerCut(workerId, false));
    }
  }

  private void loseRegion() {
    String region = "region-" + random.nextInt(FaultyCell.REGIONS);
    if (!loss.isActive()) {
      tell("lose " + region);
      loss.lose(region);
    }
  }

  private void rebootWorker() {
    String workerId = "w" + random.nextInt(cell.workers.size());
    tell("reboot " + workerId);
    cell.workers.get(workerId).reboot();
  }

  /** Trims the log as far as its newest complete snapshot allows. */
  private void trimLog() {
    long offset = SnapshotScan.coveredBy(cell.log);
    tell("trim to " + offset);
    cell.log.trim(offset);
  }

  /** Submits work and, within the time of its start, kills the leader and cuts a worker off. */
  private void strike() {
    submit();
    cell.clock.advance(random.nextInt(500));
    cell.leader().ifPresent(this::killHost);
    cutWorker();
  }

  private void healLater(long millis, Runnable heal) {
    heals.add(heal);
    cell.clock.after(Duration.ofMillis(millis), heal);
  }

  private void healAll() {
    heals.forEach(Runnable::run);
  }

  private String randomHost() {
    return cell.hosts.get(random.nextInt(cell.hosts.size())).id();
  }

  private Optional<CellNode> randomNode() {
    return Optional.ofNullable(cell.nodes.get(randomHost()));
  }

  private void tell(String text) {
    story.append(' ').append(cell.clock.monotonicMillis()).append(' ').append(text).append(';');
  }
}

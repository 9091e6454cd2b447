package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.work.PlacementPolicy;
import org.vanillacove.state.work.QueuePolicy;
import org.vanillacove.state.work.ServiceOrder;
import org.vanillacove.state.work.StallPolicy;
import org.vanillacove.state.work.WorkerCapacity;

/**
 * Starts waiting tasks on workers with free capacity. A waiting gang reserves the workers that it
 * may use, so that no task starts there that would still run when the gang could start; only other
 * gangs and queues of priority 0 are exempt. Otherwise many small tasks would fill each gap before
 * a whole gang fits. A gang that would not fit on these workers even if they were empty reserves
 * none, since it cannot start there however long the others wait.
 */
final class Dispatcher {
  /** Logs starts that are not the first of their task (prefix {@code jobs:}). */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Maximum number of waiting gangs that reserve workers at the same time. */
  private static final int MAX_RESERVING_GANGS = 2;

  /** Workers named in a call to the adviser for each task of the step. */
  private static final int WORKERS_QUERIED_PER_TASK = 3;

  /** Minimum number of workers named in a call. */
  private static final int MIN_WORKERS_QUERIED = 8;

  /** Maximum number of workers named in a call; a limit of the adviser. */
  private static final int MAX_WORKERS_QUERIED = 100;

  /** All known jobs; only open ones are dispatched. */
  private final JobTable jobs;

  /** Sessions by worker identifier; maintained by the cell. */
  private final Map<String, WorkerSession> workers;

  /** Policies for the accepted jobs of queues; empty before a configuration was read. */
  private final Function<String, Optional<QueuePolicy>> policies;

  /** Whether all existing runs of a job are known, so that its tasks may start. */
  private final Predicate<TrackedJob> runsKnown;

  /** Queues calls to the adviser. */
  private final AdviceScheduler advice;

  /** Stops runs of gangs that lack a member. */
  private final GangSupervisor gangs;

  /** What organisations have running, and their caps. */
  private final OrganisationUsage usage;

  /** Order of the steps of several organisations. */
  private final FairOrder fairOrder;

  /** Lets steps wait for a place near their data or their group. */
  private final LocalityPlanner locality;

  /** Clock for ticket expiry and service order. */
  private final TimerService timer;

  /** Creates a dispatcher over the cell's jobs and workers. */
  Dispatcher(
      JobTable jobs,
      Map<String, WorkerSession> workers,
      Function<String, Optional<QueuePolicy>> policies,
      Predicate<TrackedJob> runsKnown,
      AdviceScheduler advice,
      GangSupervisor gangs,
      OrganisationUsage usage,
      LocalityPlanner locality,
      TimerService timer) {
    this.jobs = jobs;
    this.workers = workers;
    this.policies = policies;
    this.runsKnown = runsKnown;
    this.advice = advice;
    this.gangs = gangs;
    this.usage = usage;
    fairOrder = new FairOrder(usage);
    this.locality = locality;
    this.timer = timer;
  }

  /**
   * A ready step with waiting tasks.
   *
   * @param job job of the step
   * @param step step whose tasks wait
   * @param policy policy of the job's queue
   * @param waiting values that decide its place in the service order
   */
  private record Candidate(
      TrackedJob job, TrackedStep step, QueuePolicy policy, ServiceOrder.WaitingStep waiting) {}

  /** Starts all waiting tasks that fit now, in service order, and requests missing advice. */
  void dispatch() {
    long now = timer.monotonicMillis();
    List<Candidate> candidates = candidates(now);
    if (candidates.isEmpty()) {
      return;
    }
    UsableWorkers usable = new UsableWorkers(workers.values(), now);
    Set<String> reserved = new HashSet<>();
    int reservingGangs = 0;
    GangClaims claims = new GangClaims(usage);
    for (Candidate candidate : fairOrder.of(candidates, view(now), workers.values(), now)) {
      if (claims.startable(candidate.job(), candidate.step()) == 0) {
        claims.add(candidate.job().spec(), candidate.step().spec());
        continue;
      }
      boolean mayUseReserved = candidate.policy().priority() == 0 || candidate.step().spec().gang();
      startWaiting(candidate, claims, usable, mayUseReserved ? Set.of() : reserved, now);
      boolean gang = candidate.step().spec().gang();
      if (gang && reservingGangs < MAX_RESERVING_GANGS && candidate.step().hasWaiting()) {
        List<WorkerSession> allowed = allowedWorkers(candidate, usable, Set.of());
        Set<String> wanted =
            PlacementPolicy.workersToReserve(
                candidate.step().spec(), capacities(candidate, allowed));
        reservingGangs += wanted.isEmpty() ? 0 : 1;
        reserved.addAll(wanted);
      }
    }
  }

  /** Requests advice before a step can be dispatched, so that it needn't wait for the answer. */
  void prefetchAdvice(TrackedJob job, TrackedStep step) {
    policies
        .apply(job.spec().queue())
        .filter(policy -> policy.advice().isPresent() && !step.advice().isPending())
        .ifPresent(
            policy -> {
              UsableWorkers usable = new UsableWorkers(workers.values(), timer.monotonicMillis());
              queryUnknownWorkers(job, step, policy, usable);
            });
  }

  private static FairOrder.View<Candidate> view(long now) {
    return new FairOrder.View<>(
        candidate -> candidate.job().spec(),
        Candidate::step,
        Comparator.comparing(Candidate::waiting, ServiceOrder.urgencyAt(now)));
  }

  private List<Candidate> candidates(long now) {
    List<Candidate> candidates = new ArrayList<>();
    for (TrackedJob job : jobs.open()) {
      if (job.stage() == TrackedJob.Stage.OPEN && runsKnown.test(job)) {
        policies
            .apply(job.spec().queue())
            .ifPresent(policy -> addSteps(candidates, job, policy, now));
      }
    }
    Comparator<ServiceOrder.WaitingStep> order = ServiceOrder.at(now);
    candidates.sort(Comparator.comparing(Candidate::waiting, order));
    return candidates;
  }

  private static void addSteps(
      List<Candidate> candidates, TrackedJob job, QueuePolicy policy, long now) {
    for (TrackedStep step : job.steps()) {
      if (step.hasWaiting() && job.isReady(step)) {
        step.markReady(now);
        candidates.add(new Candidate(job, step, policy, job.waiting(step, policy)));
      }
    }
  }

  private void startWaiting(
      Candidate candidate,
      GangClaims claims,
      UsableWorkers usable,
      Set<String> reserved,
      long now) {
    TrackedStep step = candidate.step();
    List<WorkerSession> allowed = allowedWorkers(candidate, usable, reserved);
    if (candidate.policy().advice().isEmpty()) {
      place(candidate, claims, allowed);
      return;
    }
    place(
        candidate,
        claims,
        allowed.stream().filter(each -> step.advice().hasTicket(each.id(), now)).toList());
    if (!step.advice().isPending() && step.hasWaiting()) {
      renewAdvice(candidate, claims, allowed, usable);
    }
  }

  private void renewAdvice(
      Candidate candidate, GangClaims claims, List<WorkerSession> allowed, UsableWorkers usable) {
    TrackedStep step = candidate.step();
    int startable = claims.startable(candidate.job(), step);
    if (startable == 0) {
      return;
    }
    List<String> placed =
        PlacementPolicy.place(step.spec(), startable, capacities(candidate, allowed));
    if (!placed.isEmpty()) {
      advice.ask(candidate.job(), step, candidate.policy(), placed.stream().distinct().toList());
    } else {
      queryUnknownWorkers(candidate.job(), step, candidate.policy(), usable);
    }
  }

  private void queryUnknownWorkers(
      TrackedJob job, TrackedStep step, QueuePolicy policy, UsableWorkers usable) {
    int wanted =
        step.spec().gang() && policy.priority() > 0
            ? MAX_WORKERS_QUERIED
            : Math.max(MIN_WORKERS_QUERIED, step.spec().count() * WORKERS_QUERIED_PER_TASK);
    List<WorkerCapacity> unknown = new ArrayList<>();
    for (WorkerSession worker : usable.of(policy.service())) {
      if (!step.advice().wasQueried(worker.id())) {
        unknown.add(worker.capacityFor(job, step));
      }
    }
    if (!unknown.isEmpty()) {
      List<String> names =
          PlacementPolicy.mostSlots(step.spec(), unknown, Math.min(MAX_WORKERS_QUERIED, wanted));
      advice.ask(job, step, policy, names);
    }
  }

  private static List<WorkerSession> allowedWorkers(
      Candidate candidate, UsableWorkers usable, Set<String> reserved) {
    String service = candidate.policy().service();
    List<WorkerSession> allowed = new ArrayList<>();
    if (candidate.policy().advice().isPresent()) {
      for (String id : candidate.step().advice().allowed()) {
        usable.find(id, service).ifPresent(allowed::add);
      }
    } else {
      allowed.addAll(usable.of(service));
    }
    if (!reserved.isEmpty()) {
      allowed.removeIf(worker -> reserved.contains(worker.id()));
    }
    return allowed;
  }

  private static List<WorkerCapacity> capacities(
      Candidate candidate, List<WorkerSession> sessions) {
    List<WorkerCapacity> capacities = new ArrayList<>(sessions.size());
    for (WorkerSession session : sessions) {
      capacities.add(session.capacityFor(candidate.job(), candidate.step()));
    }
    return capacities;
  }

  private void place(Candidate candidate, GangClaims claims, List<WorkerSession> allowed) {
    TrackedStep step = candidate.step();
    List<WorkerSession> sessions =
        locality.eligible(
            candidate.job(), step, candidate.policy(), allowed, timer.monotonicMillis());
    List<TrackedTask> waiting = step.waiting();
    int startable = claims.startable(candidate.job(), step);
    List<String> chosen =
        PlacementPolicy.place(
            step.spec(),
            startable,
            capacities(candidate, sessions),
            candidate.waiting().isUrgent(timer.monotonicMillis()));
    int gangRun = step.nextGangRun();
    String gangCheckpoint = step.gangCheckpoint();
    if (step.spec().gang() && !chosen.isEmpty()) {
      gangs.placed(step, gangRun);
    }
    for (int i = 0; i < chosen.size(); i++) {
      TrackedTask task = waiting.get(i);
      int number = step.spec().gang() ? gangRun : task.highestRun() + 1;
      start(
          candidate,
          task,
          number,
          workers.get(chosen.get(i)),
          step.spec().gang() ? gangCheckpoint : task.checkpoint());
    }
  }

  private void start(
      Candidate candidate, TrackedTask task, int number, WorkerSession worker, String checkpoint) {
    TrackedStep step = candidate.step();
    if (task.highestRun() > 0) {
      LOG.atInfo().log(
          "jobs: start again task=%s run=%d worker=%s highest_run=%d inherited=%s",
          task.name(), number, worker.id(), task.highestRun(), candidate.job().isInherited());
    }
    task.assign(worker.id(), number);
    fairOrder.started(candidate.job().spec(), timer.monotonicMillis());
    TaskRun run =
        new TaskRun(
            task.name(),
            number,
            step.spec().demand(),
            StallPolicy.timeoutMillis(step.spec()),
            TaskRun.Phase.ORDERED);
    if (step.spec().isSpeedComparable(worker.entry().rack())) {
      run.measureSpeed(step.spec().estimateMillis());
    }
    Optional<String> ticket = step.advice().ticket(worker.id(), timer.monotonicMillis());
    worker.start(run, candidate.job().spec().payload(), checkpoint, ticket);
  }
}

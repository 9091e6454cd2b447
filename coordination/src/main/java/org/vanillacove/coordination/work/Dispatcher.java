package org.vanillacove.coordination.work;

import java.util.ArrayList;
import java.util.Collection;
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
import org.vanillacove.state.work.WorkerRoom;

/**
 * Starts waiting tasks where there is room. A gang that waits holds the workers that it may use
 * free of work that would outlast its turn; the load this answers is many small tasks that fill
 * each gap before a whole gang fits.
 */
final class Dispatcher {
  /** Gangs that may hold workers at the same time. */
  private static final int HOLDING_GANGS = 2;

  /** Workers named in a call for a step of which a few tasks wait, for each task. */
  private static final int WORKERS_NAMED_PER_TASK = 3;

  /** Fewest workers named in a call. */
  private static final int FEWEST_NAMED = 8;

  /** Most workers named in a call, by the adviser's limit. */
  private static final int MOST_NAMED = 100;

  /** Jobs. */
  private final JobTable jobs;

  /** Workers by identifier. */
  private final Map<String, WorkerSession> workers;

  /** Policies of queues, empty for a queue that is not configured. */
  private final Function<String, Optional<QueuePolicy>> policies;

  /** Says whether inherited jobs may start tasks. */
  private final Predicate<TrackedJob> accounted;

  /** Calls for advice. */
  private final AdviceDesk advice;

  /** Source of time. */
  private final TimerService timer;

  /** Creates a dispatcher. */
  Dispatcher(
      JobTable jobs,
      Map<String, WorkerSession> workers,
      Function<String, Optional<QueuePolicy>> policies,
      Predicate<TrackedJob> accounted,
      AdviceDesk advice,
      TimerService timer) {
    this.jobs = jobs;
    this.workers = workers;
    this.policies = policies;
    this.accounted = accounted;
    this.advice = advice;
    this.timer = timer;
  }

  /**
   * A step with waiting tasks.
   *
   * @param job the job
   * @param step the step
   * @param policy policy of its queue
   * @param waiting what decides its order
   */
  private record Candidate(
      TrackedJob job, TrackedStep step, QueuePolicy policy, ServiceOrder.Waiting waiting) {}

  /** Starts what can be started now. */
  void dispatch() {
    long now = timer.monotonicMillis();
    Set<String> held = new HashSet<>();
    int holding = 0;
    for (Candidate candidate : candidates(now)) {
      boolean mayUseHeld = candidate.policy().priority() == 0 || candidate.step().spec().gang();
      Predicate<String> open = mayUseHeld ? id -> true : id -> !held.contains(id);
      serve(candidate, open, now);
      boolean waits = !candidate.step().waiting().isEmpty();
      if (waits && candidate.step().spec().gang() && holding < HOLDING_GANGS) {
        holding++;
        held.addAll(allowed(candidate, id -> true, now).stream().map(WorkerSession::id).toList());
      }
    }
  }

  /** Asks for advice for a step that is not accepted or ready yet, so that it need not wait. */
  void askAhead(TrackedJob job, TrackedStep step) {
    policies
        .apply(job.spec().queue())
        .filter(policy -> policy.advice().isPresent() && !step.advice().isPending())
        .ifPresent(policy -> askAll(job, step, policy, timer.monotonicMillis()));
  }

  private List<Candidate> candidates(long now) {
    List<Candidate> candidates = new ArrayList<>();
    for (TrackedJob job : jobs.open()) {
      if (job.stage() == TrackedJob.Stage.OPEN && accounted.test(job)) {
        policies
            .apply(job.spec().queue())
            .ifPresent(policy -> addSteps(candidates, job, policy, now));
      }
    }
    Comparator<ServiceOrder.Waiting> order = ServiceOrder.at(now);
    candidates.sort(Comparator.comparing(Candidate::waiting, order));
    return candidates;
  }

  private static void addSteps(
      List<Candidate> candidates, TrackedJob job, QueuePolicy policy, long now) {
    for (TrackedStep step : job.steps()) {
      if (!step.waiting().isEmpty() && job.isReady(step)) {
        step.ready(now);
        candidates.add(new Candidate(job, step, policy, job.waiting(step, policy)));
      }
    }
  }

  private void serve(Candidate candidate, Predicate<String> open, long now) {
    TrackedStep step = candidate.step();
    if (candidate.policy().advice().isEmpty()) {
      place(candidate, allowed(candidate, open, now));
      return;
    }
    List<WorkerSession> ticketed =
        allowed(candidate, open, now).stream()
            .filter(worker -> step.advice().ticket(worker.id(), now).isPresent())
            .toList();
    place(candidate, ticketed);
    if (!step.waiting().isEmpty() && !step.advice().isPending()) {
      ask(candidate, open, now);
    }
  }

  private void ask(Candidate candidate, Predicate<String> open, long now) {
    TrackedStep step = candidate.step();
    List<WorkerSession> known = allowed(candidate, open, now);
    List<String> placed =
        PlacementPolicy.place(step.spec(), step.waiting().size(), rooms(candidate, known));
    if (!placed.isEmpty()) {
      advice.ask(candidate.job(), step, candidate.policy(), placed.stream().distinct().toList());
    } else if (usable(candidate.policy(), now).stream()
        .anyMatch(worker -> !step.advice().wasAsked(worker.id()))) {
      askAll(candidate.job(), step, candidate.policy(), now);
    }
  }

  private void askAll(TrackedJob job, TrackedStep step, QueuePolicy policy, long now) {
    int wanted =
        step.spec().gang() && policy.priority() > 0
            ? MOST_NAMED
            : Math.max(FEWEST_NAMED, step.spec().count() * WORKERS_NAMED_PER_TASK);
    List<String> names =
        usable(policy, now).stream()
            .filter(worker -> !step.advice().wasAsked(worker.id()))
            .map(worker -> worker.room(job.id(), step.index()))
            .sorted(
                Comparator.comparingInt((WorkerRoom room) -> -room.slots(step.spec()))
                    .thenComparing(WorkerRoom::id))
            .limit(Math.min(MOST_NAMED, wanted))
            .map(WorkerRoom::id)
            .toList();
    if (!names.isEmpty()) {
      advice.ask(job, step, policy, names);
    }
  }

  private List<WorkerSession> usable(QueuePolicy policy, long now) {
    Collection<WorkerSession> all = workers.values();
    return all.stream()
        .filter(worker -> worker.isUsable(now))
        .filter(worker -> worker.entry().service().equals(policy.service()))
        .toList();
  }

  private List<WorkerSession> allowed(Candidate candidate, Predicate<String> open, long now) {
    StepAdvice known = candidate.step().advice();
    boolean advised = candidate.policy().advice().isPresent();
    return usable(candidate.policy(), now).stream()
        .filter(worker -> open.test(worker.id()))
        .filter(worker -> !advised || known.isAllowed(worker.id()))
        .toList();
  }

  private static List<WorkerRoom> rooms(Candidate candidate, List<WorkerSession> sessions) {
    String job = candidate.job().id();
    int step = candidate.step().index();
    return sessions.stream().map(session -> session.room(job, step)).toList();
  }

  private void place(Candidate candidate, List<WorkerSession> sessions) {
    TrackedStep step = candidate.step();
    List<TrackedTask> waiting = step.waiting();
    List<String> chosen =
        PlacementPolicy.place(step.spec(), waiting.size(), rooms(candidate, sessions));
    int gangRun = step.nextGangRun();
    String gangCheckpoint = step.gangCheckpoint();
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
    task.assign(worker.id(), number);
    TaskRun run = new TaskRun(task.name(), number, step.spec().demand(), TaskRun.Phase.ORDERED);
    Optional<String> ticket = step.advice().ticket(worker.id(), timer.monotonicMillis());
    worker.start(run, candidate.job().spec().payload(), checkpoint, ticket);
  }
}

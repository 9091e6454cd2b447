package org.vanillacove.coordination.work;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.vanillacove.coordination.work.api.TaskName;
import org.vanillacove.coordination.work.api.WorkerClient;
import org.vanillacove.coordination.work.api.WorkerEntry;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.work.JobSpec;
import org.vanillacove.state.work.StepSpec;

/**
 * Workers that start whatever they are told, and note each broken rule: capacity passed, two runs
 * of a task, starts after an acknowledged end, out of order, unasked, beyond the attempts.
 */
final class FakeWorkers {
  /** Time of an order's way and its answer. */
  private static final Duration ANSWER = Duration.ofMillis(4);

  /** Time after which a call without an answer is given up. */
  private static final Duration TIMEOUT = Duration.ofMillis(500);

  /** Longest wait for the other members of a gang. */
  private static final long GANG_WAIT_MILLIS = 3_000;

  private final TimerService timer;
  private final Random random;
  private final Map<String, Worker> workers = new TreeMap<>();
  private final Map<String, JobSpec> handedIn = new HashMap<>();
  private final Set<TaskName> acknowledgedDone = new HashSet<>();
  private final Set<TaskName> done = new HashSet<>();
  private final Map<TaskName, Integer> acknowledgedFailures = new HashMap<>();
  private final Set<String> gone = new HashSet<>();
  private final List<String> violations = new ArrayList<>();
  private int starts;
  private int maxAttempts = Integer.MAX_VALUE;
  private double failureShare;

  FakeWorkers(TimerService timer, long seed) {
    this.timer = timer;
    random = new Random(seed);
    timer.every(Duration.ofMillis(20), this::tick);
  }

  /** A run on a worker. */
  private static final class Run {
    private final TaskName task;
    private final int number;
    private final StepSpec step;
    private long workedMillis;
    private final long startedMillis;
    private boolean together;

    Run(TaskName task, int number, StepSpec step, long startedMillis) {
      this.task = task;
      this.number = number;
      this.step = step;
      this.startedMillis = startedMillis;
    }
  }

  /** A worker. */
  private static final class Worker {
    private WorkerEntry entry;
    private long highestEpoch;
    private long leaseEndMillis;
    private long bornMillis;
    private long lastEnd;
    private final Map<String, Run> runs = new TreeMap<>();
    private final List<WorkerClient.Ended> ended = new ArrayList<>();
    private final Map<TaskName, Integer> blocked = new HashMap<>();
    private boolean cut;
    private boolean late;
    private boolean hanging;
  }

  void add(String id, Resources capacity, String rack) {
    Worker worker = new Worker();
    worker.entry =
        new WorkerEntry(id, 1, id + ":80", "pool", false, capacity, rack, Set.of("a", rack));
    worker.bornMillis = timer.monotonicMillis();
    workers.put(id, worker);
  }

  void handedIn(JobSpec spec) {
    handedIn.put(spec.id(), spec);
  }

  void attempts(int most, double share) {
    maxAttempts = most;
    failureShare = share;
  }

  Map<String, WorkerEntry> directory() {
    Map<String, WorkerEntry> entries = new HashMap<>();
    workers.forEach((id, worker) -> entries.put(id, worker.entry));
    entries.keySet().removeAll(gone);
    return entries;
  }

  /** Cuts a worker off, or joins it again; it runs on meanwhile. */
  void cut(String id, boolean cut) {
    workers.get(id).cut = cut;
  }

  /** Lets orders to a worker go unanswered and be carried out later. */
  void late(String id, boolean late) {
    workers.get(id).late = late;
  }

  /** Lets all that runs on a worker stand still, or go on. */
  void hang(String id, boolean hanging) {
    workers.get(id).hanging = hanging;
  }

  /** Ends a worker's life; it begins another one under the same id. */
  void crash(String id) {
    Worker worker = workers.get(id);
    worker.runs.clear();
    worker.ended.clear();
    worker.blocked.clear();
    worker.highestEpoch = 0;
    worker.lastEnd = 0;
    worker.leaseEndMillis = 0;
    worker.bornMillis = timer.monotonicMillis();
    WorkerEntry old = worker.entry;
    worker.entry =
        new WorkerEntry(
            old.id(),
            old.born() + 1,
            old.address(),
            old.service(),
            false,
            old.capacity(),
            old.rack(),
            old.labels());
  }

  /** Removes a worker for good, silently or not. */
  void remove(String id, boolean listed) {
    crash(id);
    workers.get(id).cut = true;
    if (!listed) {
      gone.add(id);
    }
  }

  List<String> violations() {
    return violations;
  }

  int starts() {
    return starts;
  }

  int running() {
    return workers.values().stream().mapToInt(worker -> worker.runs.size()).sum();
  }

  WorkerClient client(long epoch) {
    return new Client(epoch);
  }

  private long clock(Worker worker) {
    return timer.monotonicMillis() - worker.bornMillis;
  }

  private void tick() {
    for (Worker worker : workers.values()) {
      long clock = clock(worker);
      for (Run run : List.copyOf(worker.runs.values())) {
        advance(worker, run, clock);
      }
    }
  }

  private void advance(Worker worker, Run run, long clock) {
    if (!worker.runs.containsValue(run)) {
      return;
    }
    if (clock > worker.leaseEndMillis) {
      end(worker, run, WorkerClient.EndCause.LAPSED);
      return;
    }
    if (run.step.gang() && !run.together) {
      run.together = members(run).size() == run.step.count();
      if (!run.together && clock - run.startedMillis > GANG_WAIT_MILLIS) {
        end(worker, run, WorkerClient.EndCause.ALONE);
      }
      return;
    }
    run.workedMillis += worker.hanging ? 0 : 20;
    if (run.workedMillis >= run.step.estimateMillis()) {
      boolean failed = random.nextDouble() < failureShare;
      end(worker, run, failed ? WorkerClient.EndCause.FAILED : WorkerClient.EndCause.DONE);
    }
  }

  private List<Run> members(Run of) {
    return workers.values().stream()
        .flatMap(worker -> worker.runs.values().stream())
        .filter(run -> run.task.job().equals(of.task.job()))
        .filter(run -> run.task.step() == of.task.step() && run.number == of.number)
        .toList();
  }

  private void end(Worker worker, Run run, WorkerClient.EndCause cause) {
    worker.runs.remove(key(run.task, run.number));
    worker.lastEnd++;
    worker.blocked.merge(run.task, run.number, Math::max);
    worker.ended.add(new WorkerClient.Ended(worker.lastEnd, run.task, run.number, cause, ""));
    if (cause == WorkerClient.EndCause.DONE) {
      done.add(run.task);
    }
    if (run.step.gang()) {
      WorkerClient.EndCause others =
          cause == WorkerClient.EndCause.DONE ? cause : WorkerClient.EndCause.BROKEN;
      for (Run member : members(run)) {
        workers.values().stream()
            .filter(other -> other.runs.containsValue(member))
            .findFirst()
            .ifPresent(other -> end(other, member, others));
      }
    }
  }

  private static String key(TaskName task, int run) {
    return task.job() + "." + task.step() + "." + task.index() + "/" + run;
  }

  private void check(Worker worker, TaskName task, int run, String payload) {
    JobSpec spec = handedIn.get(task.job());
    if (spec == null || !spec.payload().equals(payload)) {
      violations.add("unasked start of " + task);
      return;
    }
    StepSpec step = spec.steps().get(task.step());
    checkTwice(task, run);
    for (int previous : step.after()) {
      for (int i = 0; i < spec.steps().get(previous).count(); i++) {
        if (!done.contains(new TaskName(task.job(), previous, i))
            && !spec.steps().get(previous).gang()) {
          violations.add("start of " + task + " before its predecessor " + previous);
        }
      }
    }
    Resources used = step.demand();
    int same = 1;
    for (Run other : worker.runs.values()) {
      used = used.plus(other.step.demand());
      same += other.task.job().equals(task.job()) && other.task.step() == task.step() ? 1 : 0;
    }
    if (!used.fitsIn(worker.entry.capacity())) {
      violations.add("capacity of " + worker.entry.id() + " passed by " + task + ": " + used);
    }
    if (step.maxPerWorker() > 0 && same > step.maxPerWorker()) {
      violations.add("too many tasks of the step of " + task + " on " + worker.entry.id());
    }
    if (acknowledgedFailures.getOrDefault(task, 0) >= maxAttempts) {
      violations.add("start of " + task + " beyond its attempts");
    }
  }

  private void checkTwice(TaskName task, int run) {
    if (acknowledgedDone.contains(task)) {
      violations.add("start of " + task + " run " + run + " after its acknowledged end");
    }
    for (Worker other : workers.values()) {
      for (Run each : other.runs.values()) {
        if (each.task.equals(task)) {
          violations.add(
              "two runs of " + task + ": " + each.number + " on " + other.entry.id() + ", " + run);
        }
      }
    }
  }

  /** Calls of one leader. */
  private final class Client implements WorkerClient {
    private final long epoch;

    Client(long epoch) {
      this.epoch = epoch;
    }

    @Override
    public void renew(WorkerEntry entry, Renewal call, Consumer<RenewalOutcome> done) {
      Worker worker = workers.get(entry.id());
      if (worker.cut) {
        timer.after(TIMEOUT, () -> done.accept(new RenewalOutcome.NoAnswer()));
        return;
      }
      timer.after(
          ANSWER.multipliedBy(10),
          () ->
              done.accept(
                  worker.cut || worker.entry.born() != entry.born()
                      ? new RenewalOutcome.NoAnswer()
                      : report(worker, call)));
    }

    @Override
    public void start(WorkerEntry entry, StartOrder order, Consumer<OrderOutcome> done) {
      deliver(entry, () -> startNow(workers.get(entry.id()), entry, order), done);
    }

    @Override
    public void stop(WorkerEntry entry, TaskName task, int run, Consumer<OrderOutcome> done) {
      deliver(entry, () -> stopNow(workers.get(entry.id()), entry, task, run), done);
    }

    private void deliver(WorkerEntry entry, Action action, Consumer<OrderOutcome> done) {
      Worker worker = workers.get(entry.id());
      if (worker.cut) {
        timer.after(TIMEOUT, () -> done.accept(new OrderOutcome.Unknown()));
      } else if (worker.late && random.nextBoolean()) {
        timer.after(Duration.ofMillis(2_000 + random.nextInt(6_000)), action::run);
        timer.after(TIMEOUT, () -> done.accept(new OrderOutcome.Unknown()));
      } else {
        timer.after(ANSWER, () -> done.accept(action.run()));
      }
    }

    private RenewalOutcome report(Worker worker, Renewal call) {
      if (epoch < worker.highestEpoch) {
        return new RenewalOutcome.Fenced();
      }
      worker.highestEpoch = epoch;
      call.leaseEndMillis()
          .ifPresent(end -> worker.leaseEndMillis = Math.max(worker.leaseEndMillis, end));
      acknowledge(worker, call.acknowledgedEnd());
      List<Running> running =
          worker.runs.values().stream()
              .map(run -> new Running(run.task, run.number, "", (int) (run.workedMillis / 20)))
              .toList();
      return new RenewalOutcome.Reported(
          new Report(clock(worker), worker.entry.born(), running, List.copyOf(worker.ended)));
    }

    private void acknowledge(Worker worker, long last) {
      for (Ended end : List.copyOf(worker.ended)) {
        if (end.number() <= last) {
          worker.ended.remove(end);
          if (end.cause() == EndCause.DONE) {
            acknowledgedDone.add(end.task());
          } else if (end.cause() == EndCause.FAILED) {
            acknowledgedFailures.merge(end.task(), 1, Integer::sum);
          }
        }
      }
    }

    private OrderOutcome startNow(Worker worker, WorkerEntry meant, StartOrder order) {
      if (worker.entry.born() != meant.born()) {
        return new OrderOutcome.Refused(Refusal.OTHER_INSTANCE);
      }
      if (epoch < worker.highestEpoch) {
        return new OrderOutcome.Refused(Refusal.FENCED);
      }
      worker.highestEpoch = epoch;
      worker.leaseEndMillis = Math.max(worker.leaseEndMillis, order.leaseEndMillis());
      if (worker.runs.containsKey(key(order.task(), order.run()))) {
        return new OrderOutcome.Done(clock(worker));
      }
      if (order.run() <= worker.blocked.getOrDefault(order.task(), 0)) {
        return new OrderOutcome.Refused(Refusal.OLD_RUN);
      }
      if (clock(worker) > order.leaseEndMillis()) {
        return new OrderOutcome.Refused(Refusal.LATE);
      }
      check(worker, order.task(), order.run(), order.payload());
      starts++;
      JobSpec spec = handedIn.get(order.task().job());
      if (spec != null) {
        StepSpec step = spec.steps().get(order.task().step());
        worker.runs.put(
            key(order.task(), order.run()),
            new Run(order.task(), order.run(), step, clock(worker)));
      }
      return new OrderOutcome.Done(clock(worker));
    }

    private OrderOutcome stopNow(Worker worker, WorkerEntry meant, TaskName task, int run) {
      if (worker.entry.born() != meant.born()) {
        return new OrderOutcome.Refused(Refusal.OTHER_INSTANCE);
      }
      if (epoch < worker.highestEpoch) {
        return new OrderOutcome.Refused(Refusal.FENCED);
      }
      worker.blocked.merge(task, run, Math::max);
      Run there = worker.runs.get(key(task, run));
      if (there != null) {
        timer.after(
            Duration.ofMillis(100),
            () -> {
              if (worker.runs.containsValue(there)) {
                end(worker, there, EndCause.STOPPED);
              }
            });
      }
      return new OrderOutcome.Done(clock(worker));
    }
  }

  /** Carries out an order. */
  @FunctionalInterface
  private interface Action {
    WorkerClient.OrderOutcome run();
  }
}

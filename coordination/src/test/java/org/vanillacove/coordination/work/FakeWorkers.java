package org.vanillacove.coordination.work;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.vanillacove.coordination.work.api.TaskName;
import org.vanillacove.coordination.work.api.WorkerClient;
import org.vanillacove.coordination.work.api.WorkerEntry;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.tenancy.Organisation;
import org.vanillacove.state.tenancy.OrganisationTable;
import org.vanillacove.state.work.JobSpec;
import org.vanillacove.state.work.StepSpec;

/**
 * Fake workers that execute every start command and record violations: exceeded capacity, two runs
 * of a task at once, starts after an acknowledged end, before a predecessor, with an unknown job or
 * payload, beyond the maximum of attempts, or beyond the cap of an organisation.
 */
final class FakeWorkers {
  /** Time until the caller receives the response to a command. */
  private static final Duration RESPONSE_TIME = Duration.ofMillis(4);

  /** Time after which the caller's outcome is unknown. */
  private static final Duration TIMEOUT = Duration.ofMillis(500);

  /** Time after which a delayed start command takes effect. */
  private static final Duration LATE_START = Duration.ofSeconds(2);

  /** Maximum number of ends in one report; further ones follow once these are acknowledged. */
  private static final int ENDS_PER_REPORT = 500;

  /** Maximum wait for the other members of a gang. */
  static final long GANG_WAIT_MILLIS = 3_000;

  private final TimerService timer;
  private final Random random;

  /** Calls that are kept back. */
  final HeldCalls heldCalls;

  /** Longest lease that a worker grants, in milliseconds. */
  private final long maxLeaseMillis;

  private final Map<String, Worker> workers = new TreeMap<>();
  private final Map<String, JobSpec> submitted = new HashMap<>();
  private final Set<TaskName> acknowledgedDone = new HashSet<>();
  private final Set<TaskName> done = new HashSet<>();
  private final Map<TaskName, Set<Integer>> acknowledgedFailures = new HashMap<>();
  private final Set<String> unlisted = new HashSet<>();
  private final List<String> violations = new ArrayList<>();
  private final List<TaskName> aloneEnds = new ArrayList<>();
  private final Map<TaskName, Double> lengthFactors = new HashMap<>();
  private boolean slowestMemberCounts;
  private OrganisationTable organisations = OrganisationTable.NONE;
  private int starts;
  private int renewals;
  private int maxAttempts = Integer.MAX_VALUE;
  private double failureShare;

  /** Factor on the run time of tasks away from the rack of their data. */
  private int remoteFactor = 1;

  FakeWorkers(TimerService timer, long seed, long maxLeaseMillis) {
    this.timer = timer;
    this.maxLeaseMillis = maxLeaseMillis;
    heldCalls = new HeldCalls(timer, TIMEOUT);
    random = new Random(seed);
    timer.every(Duration.ofMillis(20), this::tick);
  }

  /** State of one fake worker. */
  private static final class Worker {
    private WorkerEntry entry;
    private long highestFence;
    private long leaseEndMillis;
    private long bornMillis;
    private long lastEndNumber;
    private final Map<String, FakeRun> runs = new TreeMap<>();
    private final List<WorkerClient.EndedRun> ended = new ArrayList<>();
    private final Map<TaskName, Integer> highestEndedRun = new HashMap<>();
    private boolean disconnected;
    private int reportRequests;
    private boolean commandsDelayed;
    private boolean startsUnanswered;
    private boolean startAnswersLost;
    private int startsToDelay;
    private boolean hanging;
    private double speed = 1;
    private Duration reportDelay = Duration.ZERO;
    private int startsToRefuse;
    private WorkerClient.Refusal refusal = WorkerClient.Refusal.UNHEALTHY;
  }

  void add(String id, Resources capacity, String rack) {
    add(id, "pool", capacity, rack);
  }

  void add(String id, String service, Resources capacity, String rack) {
    Worker worker = new Worker();
    worker.entry =
        new WorkerEntry(id, 1, id + ":80", service, false, capacity, rack, Set.of("a", rack));
    worker.bornMillis = timer.monotonicMillis();
    workers.put(id, worker);
  }

  void submitted(JobSpec spec) {
    submitted.put(spec.id(), spec);
  }

  /** Records the caps that starts must keep from now on. */
  void organisations(OrganisationTable configured) {
    organisations = configured;
  }

  void attempts(int maxRuns, double share) {
    maxAttempts = maxRuns;
    failureShare = share;
  }

  void slowRemoteTasks(int factor) {
    remoteFactor = factor;
  }

  Map<String, WorkerEntry> directory() {
    Map<String, WorkerEntry> entries = new HashMap<>();
    workers.forEach((id, worker) -> entries.put(id, worker.entry));
    entries.keySet().removeAll(unlisted);
    return entries;
  }

  /** Disconnects or reconnects a worker; its runs continue meanwhile. */
  void disconnect(String id, boolean disconnected) {
    workers.get(id).disconnected = disconnected;
  }

  /** Makes commands to a worker time out and take effect later, or ends that. */
  void delayCommands(String id, boolean delayed) {
    workers.get(id).commandsDelayed = delayed;
  }

  /** Makes a worker refuse its next start commands. */
  void refuseStarts(String id, int count, WorkerClient.Refusal refusal) {
    workers.get(id).startsToRefuse = count;
    workers.get(id).refusal = refusal;
  }

  /** Makes start commands to a worker time out without an effect, or ends that. */
  void dropStarts(String id, boolean dropped) {
    workers.get(id).startsUnanswered = dropped;
  }

  /** Makes a worker execute start commands without an answer, or ends that. */
  void loseStartAnswers(String id, boolean lost) {
    workers.get(id).startAnswersLost = lost;
  }

  /** Makes the next start commands to a worker time out and take effect after two seconds. */
  void delayStarts(String id, int count) {
    workers.get(id).startsToDelay = count;
  }

  /** Returns the number of ends on a worker that were not acknowledged. */
  int unacknowledgedEnds(String id) {
    return workers.get(id).ended.size();
  }

  /** Lets a worker report the end of a run that it executed for a former leader. */
  void addEnd(String id, TaskName task, int run, WorkerClient.EndCause cause) {
    Worker worker = workers.get(id);
    worker.lastEndNumber++;
    worker.highestEndedRun.merge(task, run, Math::max);
    worker.ended.add(new WorkerClient.EndedRun(worker.lastEndNumber, task, run, cause, ""));
  }

  /** Stops or resumes the progress of all runs on a worker. */
  void hang(String id, boolean hanging) {
    workers.get(id).hanging = hanging;
  }

  /** Makes each run of a task last a multiple of its declared run time. */
  void lengthen(TaskName task, double factor) {
    lengthFactors.put(task, factor);
  }

  /** Makes gangs end with their slowest member instead of the first one. */
  void keepMembersTogether() {
    slowestMemberCounts = true;
  }

  /** Sets how fast runs on a worker proceed; at 1 they last as long as declared. */
  void speed(String id, double speed) {
    workers.get(id).speed = speed;
  }

  /** Delivers the reports of a worker later than it made them. */
  void delayReports(String id, Duration delay) {
    workers.get(id).reportDelay = delay;
  }

  /**
   * Restarts a worker as a new incarnation. Commands name the worker by its identifier, so the new
   * incarnation executes those that were meant for the former one.
   */
  void crash(String id) {
    crash(id, 1);
  }

  /** Restarts a worker whose start time differs by {@code millis} from that of the former one. */
  void crash(String id, long millis) {
    Worker worker = workers.get(id);
    worker.runs.clear();
    worker.ended.clear();
    worker.highestEndedRun.clear();
    worker.highestFence = 0;
    worker.lastEndNumber = 0;
    worker.leaseEndMillis = 0;
    worker.bornMillis = timer.monotonicMillis();
    WorkerEntry old = worker.entry;
    worker.entry =
        new WorkerEntry(
            old.id(),
            old.incarnation() + millis,
            old.address(),
            old.service(),
            false,
            old.capacity(),
            old.rack(),
            old.labels());
  }

  /** Restarts a worker as another kind, at another address of its own. */
  void restartAs(String id, Resources capacity, String label) {
    crash(id);
    Worker worker = workers.get(id);
    WorkerEntry same = worker.entry;
    worker.entry =
        new WorkerEntry(
            id,
            same.incarnation(),
            id + ":" + (80 + same.incarnation()),
            same.service(),
            false,
            capacity,
            same.rack(),
            Set.of(label, same.rack()));
  }

  /** Removes a worker permanently; it stays in the directory if {@code listed}. */
  void remove(String id, boolean listed) {
    crash(id);
    workers.get(id).disconnected = true;
    if (!listed) {
      unlisted.add(id);
    }
  }

  /** Removes a worker from the directory or returns it; its runs continue meanwhile. */
  void list(String id, boolean listed) {
    if (listed) {
      unlisted.remove(id);
    } else {
      unlisted.add(id);
    }
  }

  List<String> violations() {
    return violations;
  }

  /** Returns the runs that ended since the other members of their gang were missing. */
  List<TaskName> aloneEnds() {
    return aloneEnds;
  }

  /** Returns how many renewals with a lease end were sent. */
  int renewals() {
    return renewals;
  }

  /** Returns how many reports of a worker were requested. */
  int reportRequests(String id) {
    return workers.get(id).reportRequests;
  }

  int starts() {
    return starts;
  }

  int running() {
    return workers.values().stream().mapToInt(worker -> worker.runs.size()).sum();
  }

  /** Returns the number of runs on a worker. */
  int running(String id) {
    return workers.get(id).runs.size();
  }

  /** Returns what the runs of an organisation use on all workers. */
  Resources used(String organisation) {
    Resources total = Resources.NONE;
    for (Worker worker : workers.values()) {
      for (FakeRun run : worker.runs.values()) {
        if (submitted.get(run.task.job()).organisation().equals(Optional.of(organisation))) {
          total = total.plus(run.step.demand());
        }
      }
    }
    return total;
  }

  /** Returns the worker with the most runs. */
  String busiest() {
    return Collections.max(workers.keySet(), Comparator.comparingInt(this::running));
  }

  /** Returns the workers on which tasks of a job run. */
  List<String> workersOf(String job) {
    return workers.entrySet().stream()
        .filter(
            each -> each.getValue().runs.values().stream().anyMatch(r -> r.task.job().equals(job)))
        .map(Map.Entry::getKey)
        .toList();
  }

  WorkerClient client(long epoch) {
    return new Client(epoch);
  }

  private void extendLease(Worker worker, long end) {
    long granted = Math.min(end, clock(worker) + maxLeaseMillis);
    worker.leaseEndMillis = Math.max(worker.leaseEndMillis, granted);
  }

  private long clock(Worker worker) {
    return timer.monotonicMillis() - worker.bornMillis;
  }

  private void tick() {
    for (Worker worker : workers.values()) {
      long clock = clock(worker);
      for (FakeRun run : List.copyOf(worker.runs.values())) {
        advance(worker, run, clock);
      }
    }
  }

  private void advance(Worker worker, FakeRun run, long clock) {
    if (!worker.runs.containsValue(run)) {
      return;
    }
    if (clock > worker.leaseEndMillis) {
      end(worker, run, WorkerClient.EndCause.LAPSED);
      return;
    }
    if (run.step.gang() && !run.gangComplete) {
      run.gangComplete = members(run).size() == run.step.count();
      if (!run.gangComplete && clock - run.startedMillis > GANG_WAIT_MILLIS) {
        end(worker, run, WorkerClient.EndCause.ALONE);
      }
      return;
    }
    boolean remote =
        run.step.dataRack().filter(rack -> !rack.equals(worker.entry.rack())).isPresent();
    double speed = worker.hanging ? 0 : worker.speed / (remote ? remoteFactor : 1);
    run.workedMillis += (long) (20 * speed);
    if (run.workedMillis >= lengthMillis(run) && !waitsForMembers(run)) {
      boolean failed = random.nextDouble() < failureShare;
      end(worker, run, failed ? WorkerClient.EndCause.FAILED : WorkerClient.EndCause.DONE);
    }
  }

  private boolean waitsForMembers(FakeRun run) {
    return slowestMemberCounts
        && run.step.gang()
        && members(run).stream().anyMatch(member -> member.workedMillis < lengthMillis(member));
  }

  private long lengthMillis(FakeRun run) {
    return (long) (run.step.estimateMillis() * lengthFactors.getOrDefault(run.task, 1.0));
  }

  private List<FakeRun> members(FakeRun of) {
    return workers.values().stream()
        .flatMap(worker -> worker.runs.values().stream())
        .filter(run -> run.task.job().equals(of.task.job()))
        .filter(run -> run.task.step() == of.task.step() && run.number == of.number)
        .toList();
  }

  private void end(Worker worker, FakeRun run, WorkerClient.EndCause cause) {
    worker.runs.remove(key(run.task, run.number));
    worker.lastEndNumber++;
    worker.highestEndedRun.merge(run.task, run.number, Math::max);
    worker.ended.add(
        new WorkerClient.EndedRun(worker.lastEndNumber, run.task, run.number, cause, ""));
    if (cause == WorkerClient.EndCause.DONE) {
      done.add(run.task);
    }
    if (cause == WorkerClient.EndCause.ALONE) {
      aloneEnds.add(run.task);
    }
    if (run.step.gang()) {
      WorkerClient.EndCause others =
          cause == WorkerClient.EndCause.DONE ? cause : WorkerClient.EndCause.BROKEN;
      for (FakeRun member : members(run)) {
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

  private void checkStart(Worker worker, TaskName task, int run, String payload) {
    JobSpec spec = submitted.get(task.job());
    if (spec == null || !spec.payload().equals(payload)) {
      violations.add("start with an unknown job or payload: " + task);
      return;
    }
    StepSpec step = spec.steps().get(task.step());
    checkNoSecondRun(task, run);
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
    for (FakeRun other : worker.runs.values()) {
      used = used.plus(other.step.demand());
      same += other.task.job().equals(task.job()) && other.task.step() == task.step() ? 1 : 0;
    }
    if (!used.fitsIn(worker.entry.capacity())) {
      violations.add("capacity of " + worker.entry.id() + " exceeded by " + task + ": " + used);
    }
    spec.organisation().flatMap(organisations::find).ifPresent(o -> checkCap(o, task, step));
    if (step.maxPerWorker() > 0 && same > step.maxPerWorker()) {
      violations.add("too many tasks of the step of " + task + " on " + worker.entry.id());
    }
    if (acknowledgedFailures.getOrDefault(task, Set.of()).size() >= maxAttempts) {
      violations.add("start of " + task + " beyond the maximum of attempts");
    }
  }

  private void checkCap(Organisation owner, TaskName task, StepSpec step) {
    Resources total = used(owner.name()).plus(step.demand());
    Resources cap = owner.cap();
    if (exceeds(total.cpuMillis(), cap.cpuMillis())
        || exceeds(total.memoryMib(), cap.memoryMib())
        || exceeds(total.accelerators(), cap.accelerators())) {
      violations.add("cap of " + owner.name() + " exceeded by " + task + ": " + total);
    }
  }

  private static boolean exceeds(long value, long limit) {
    return limit > 0 && value > limit;
  }

  private void checkNoSecondRun(TaskName task, int run) {
    if (acknowledgedDone.contains(task)) {
      violations.add("start of " + task + " run " + run + " after its acknowledged end");
    }
    for (Worker other : workers.values()) {
      for (FakeRun each : other.runs.values()) {
        if (each.task.equals(task)) {
          violations.add(
              "two runs of " + task + ": " + each.number + " on " + other.entry.id() + ", " + run);
        }
      }
    }
  }

  /** Client of one leader, whose epoch fences earlier ones. */
  private final class Client implements WorkerClient {
    private final long epoch;
    private int lastFence;

    Client(long epoch) {
      this.epoch = epoch;
    }

    @Override
    public int nextFence() {
      return ++lastFence;
    }

    @Override
    public void renew(Recipient recipient, Renewal call, Consumer<RenewalOutcome> done) {
      Worker worker = workers.get(recipient.entry().id());
      worker.reportRequests++;
      renewals += call.leaseEndMillis().isPresent() ? 1 : 0;
      RenewalOutcome noResponse = new RenewalOutcome.NoResponse();
      if (heldCalls.keeps(recipient, () -> report(worker, recipient, call), noResponse, done)) {
        return;
      }
      if (worker.disconnected) {
        timer.after(TIMEOUT, () -> done.accept(new RenewalOutcome.NoResponse()));
        return;
      }
      long incarnation = worker.entry.incarnation();
      timer.after(
          RESPONSE_TIME.multipliedBy(10),
          () -> {
            if (worker.entry.incarnation() != incarnation) {
              // The call ends with the incarnation that held it, without an answer.
              timer.after(TIMEOUT, () -> done.accept(new RenewalOutcome.NoResponse()));
              return;
            }
            RenewalOutcome outcome =
                worker.disconnected
                    ? new RenewalOutcome.NoResponse()
                    : report(worker, recipient, call);
            if (worker.reportDelay.isZero()) {
              done.accept(outcome);
            } else {
              timer.after(worker.reportDelay, () -> done.accept(outcome));
            }
          });
    }

    @Override
    public void start(Recipient recipient, StartCommand command, Consumer<CommandOutcome> done) {
      if (workers.get(recipient.entry().id()).startsUnanswered) {
        timer.after(TIMEOUT, () -> done.accept(new CommandOutcome.Unknown()));
        return;
      }
      if (workers.get(recipient.entry().id()).startsToDelay > 0) {
        workers.get(recipient.entry().id()).startsToDelay--;
        Worker worker = workers.get(recipient.entry().id());
        executeLate(worker, LATE_START, () -> startNow(worker, recipient, command));
        timer.after(TIMEOUT, () -> done.accept(new CommandOutcome.Unknown()));
        return;
      }
      if (workers.get(recipient.entry().id()).startAnswersLost) {
        timer.after(
            RESPONSE_TIME, () -> startNow(workers.get(recipient.entry().id()), recipient, command));
        timer.after(TIMEOUT, () -> done.accept(new CommandOutcome.Unknown()));
        return;
      }
      deliver(
          recipient, () -> startNow(workers.get(recipient.entry().id()), recipient, command), done);
    }

    @Override
    public void stop(Recipient recipient, TaskName task, int run, Consumer<CommandOutcome> done) {
      deliver(
          recipient,
          () -> stopNow(workers.get(recipient.entry().id()), recipient, task, run),
          done);
    }

    private void deliver(Recipient recipient, Action action, Consumer<CommandOutcome> done) {
      Worker worker = workers.get(recipient.entry().id());
      if (heldCalls.keeps(recipient, action::run, new CommandOutcome.Unknown(), done)) {
        return;
      }
      if (worker.disconnected) {
        timer.after(TIMEOUT, () -> done.accept(new CommandOutcome.Unknown()));
      } else if (worker.commandsDelayed && random.nextBoolean()) {
        executeLate(worker, Duration.ofMillis(2_000 + random.nextInt(6_000)), action);
        timer.after(TIMEOUT, () -> done.accept(new CommandOutcome.Unknown()));
      } else {
        timer.after(RESPONSE_TIME, () -> done.accept(action.run()));
      }
    }

    /** Executes a command that the present incarnation received, unless that one ends before. */
    private void executeLate(Worker worker, Duration delay, Action action) {
      long incarnation = worker.entry.incarnation();
      timer.after(
          delay,
          () -> {
            if (worker.entry.incarnation() == incarnation) {
              action.run();
            }
          });
    }

    /** Returns whether the worker has seen a higher fence, and remembers this one otherwise. */
    private boolean isFenced(Worker worker, Recipient recipient) {
      long fence = epoch << Integer.SIZE | recipient.fence();
      boolean fenced = fence < worker.highestFence;
      worker.highestFence = Math.max(fence, worker.highestFence);
      return fenced;
    }

    private RenewalOutcome report(Worker worker, Recipient recipient, Renewal call) {
      if (isFenced(worker, recipient)) {
        return new RenewalOutcome.Fenced();
      }
      call.leaseEndMillis().ifPresent(end -> extendLease(worker, end));
      acknowledge(worker, call.acknowledgedEnd());
      List<CurrentRun> running =
          worker.runs.values().stream()
              .map(run -> new CurrentRun(run.task, run.number, "", run.percent()))
              .toList();
      return new RenewalOutcome.Reported(
          new Report(
              clock(worker),
              worker.entry.incarnation(),
              running,
              worker.ended.stream().limit(ENDS_PER_REPORT).toList(),
              worker.ended.size() < ENDS_PER_REPORT));
    }

    private void acknowledge(Worker worker, long last) {
      for (EndedRun end : List.copyOf(worker.ended)) {
        if (end.number() <= last) {
          worker.ended.remove(end);
          if (end.cause() == EndCause.DONE) {
            acknowledgedDone.add(end.task());
          } else if (end.cause() == EndCause.FAILED) {
            acknowledgedFailures
                .computeIfAbsent(end.task(), task -> new HashSet<>())
                .add(end.run());
          }
        }
      }
    }

    private CommandOutcome startNow(Worker worker, Recipient recipient, StartCommand command) {
      if (isFenced(worker, recipient)) {
        return new CommandOutcome.Refused(Refusal.FENCED);
      }
      extendLease(worker, command.leaseEndMillis());
      if (worker.runs.containsKey(key(command.task(), command.run()))) {
        return new CommandOutcome.Done(clock(worker));
      }
      if (command.run() <= worker.highestEndedRun.getOrDefault(command.task(), 0)) {
        return new CommandOutcome.Refused(Refusal.OLD_RUN);
      }
      if (clock(worker) > command.leaseEndMillis()) {
        return new CommandOutcome.Refused(Refusal.LATE);
      }
      if (worker.startsToRefuse > 0) {
        worker.startsToRefuse--;
        return new CommandOutcome.Refused(worker.refusal);
      }
      checkStart(worker, command.task(), command.run(), command.payload());
      starts++;
      JobSpec spec = submitted.get(command.task().job());
      if (spec != null) {
        StepSpec step = spec.steps().get(command.task().step());
        worker.runs.put(
            key(command.task(), command.run()),
            new FakeRun(command.task(), command.run(), step, clock(worker)));
      }
      return new CommandOutcome.Done(clock(worker));
    }

    private CommandOutcome stopNow(Worker worker, Recipient recipient, TaskName task, int run) {
      if (isFenced(worker, recipient)) {
        return new CommandOutcome.Refused(Refusal.FENCED);
      }
      worker.highestEndedRun.merge(task, run, Math::max);
      FakeRun current = worker.runs.get(key(task, run));
      if (current != null) {
        timer.after(
            Duration.ofMillis(100),
            () -> {
              if (worker.runs.containsValue(current)) {
                end(worker, current, EndCause.STOPPED);
              }
            });
      }
      return new CommandOutcome.Done(clock(worker));
    }
  }

  /** Executes a command on the worker. */
  @FunctionalInterface
  private interface Action {
    WorkerClient.CommandOutcome run();
  }
}

package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.vanillacove.coordination.work.api.Adviser;
import org.vanillacove.coordination.work.api.CancelOutcome;
import org.vanillacove.coordination.work.api.JobStore;
import org.vanillacove.coordination.work.api.JobView;
import org.vanillacove.coordination.work.api.KeyedRecord;
import org.vanillacove.coordination.work.api.SubmitOutcome;
import org.vanillacove.coordination.work.api.TaskName;
import org.vanillacove.coordination.work.api.WorkerClient;
import org.vanillacove.coordination.work.api.WorkerClient.Ended;
import org.vanillacove.coordination.work.api.WorkerClient.Refusal;
import org.vanillacove.coordination.work.api.WorkerClient.Running;
import org.vanillacove.coordination.work.api.WorkerEntry;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.work.AdmissionPolicy;
import org.vanillacove.state.work.JobSpec;
import org.vanillacove.state.work.QueuePolicy;

/**
 * The cell as the leading host runs it during one term: accepts jobs, starts their tasks, takes in
 * ends, and answers for the state of each job.
 */
public final class WorkCell implements AutoCloseable {
  /** Log of jobs. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Time over which changes are gathered before tasks are placed. */
  private static final Duration DISPATCH_DELAY = Duration.ofMillis(8);

  /** Period of the checks for leases that ended. */
  private static final Duration CHECK_PERIOD = Duration.ofMillis(250);

  /** Time after which callers return while the store is away. */
  private static final Duration STORE_AWAY_RETURN = Duration.ofSeconds(2);

  /** Longest time for which a former leader renews leases after a newer claim. */
  private static final long FORMER_LEADER_MILLIS = 3_500;

  /** Slowest rate of a worker's clock against ours. */
  private static final double SLOWEST_CLOCK = 0.98;

  /** Orders to workers. */
  private final WorkerClient client;

  /** Source of time. */
  private final TimerService timer;

  /** Fixed properties of the term. */
  private final Term term;

  /** Jobs. */
  private final JobTable jobs = new JobTable();

  /** Workers by identifier. */
  private final Map<String, WorkerSession> workers = new HashMap<>();

  /** Workers that may hold runs of a former leader and have not reported yet. */
  private final Set<String> unaccounted = new HashSet<>();

  /** Configured queues by name. */
  private Map<String, QueuePolicy> queues = Map.of();

  /** Writes records. */
  private final JobRecorder recorder;

  /** Keeps the records of ended jobs few. */
  private final EndedJobsUpkeep endedJobs;

  /** Calls for advice. */
  private final AdviceDesk advice;

  /** Starts tasks. */
  private final Dispatcher dispatcher;

  /** What sessions tell. */
  private final Events events = new Events();

  /** Submissions that wait for their job to be durable. */
  private final CallerQueue<SubmitOutcome> submitting = new CallerQueue<>();

  /** Cancellations that wait to be durable. */
  private final CallerQueue<CancelOutcome> cancelling = new CallerQueue<>();

  /** Monotonic time from which runs of former leaders are certainly over, in milliseconds. */
  private final long accountedMillis;

  /** The periodic check. */
  private final TimerService.Subscription check;

  /** Whether a dispatch is due. */
  private boolean dispatchDue;

  /** Whether orders may be given. */
  private boolean ordering = true;

  /** Whether the term has ended. */
  private boolean closed;

  /**
   * Creates a cell.
   *
   * @param term fixed properties of the term
   * @param timer source of time; its timers run on the scheduling thread
   * @param store durable records
   * @param client orders to workers
   * @param adviser which workers a step may use
   */
  public WorkCell(
      Term term, TimerService timer, JobStore store, WorkerClient client, Adviser adviser) {
    this.term = term;
    this.timer = timer;
    this.client = client;
    recorder = new JobRecorder(store, timer, term.fenced());
    endedJobs = new EndedJobsUpkeep(jobs, recorder, term.statusMillis());
    advice = new AdviceDesk(adviser, timer, this::changed);
    dispatcher = new Dispatcher(jobs, workers, this::queue, this::isAccounted, advice, timer);
    accountedMillis =
        timer.monotonicMillis()
            + FORMER_LEADER_MILLIS
            + (long) (term.leaseMillis() / SLOWEST_CLOCK);
    check = timer.every(CHECK_PERIOD, this::check);
  }

  /**
   * Fixed properties of a term.
   *
   * @param leaseMillis length of leases
   * @param statusMillis time for which a finished job stays known
   * @param fenced called when a newer leader is found
   * @param metrics counts decisions
   */
  public record Term(long leaseMillis, long statusMillis, Runnable fenced, CellMetrics metrics) {}

  /** Takes in all durable records; called once, before anything else. */
  public void load(List<KeyedRecord> records) {
    jobs.load(
        records,
        timer.monotonicMillis(),
        timer.wallMillis(),
        spec -> queue(spec.queue()).map(q -> q.objectiveMillis(spec)).orElse(0L));
    unaccounted.addAll(jobs.recordedWorkers());
    LOG.atInfo().log(
        "jobs: loaded records=%d open=%d workers=%d",
        records.size(), jobs.open().size(), unaccounted.size());
    changed();
  }

  /** Uses these queues from now on. */
  public void configure(Map<String, QueuePolicy> configured) {
    queues = Map.copyOf(configured);
    changed();
  }

  /** Takes the whole directory of workers. */
  public void directory(Map<String, WorkerEntry> entries) {
    entries.values().forEach(this::listed);
    for (WorkerSession session : workers.values()) {
      if (!entries.containsKey(session.id())) {
        session.unlisted();
      }
    }
    changed();
  }

  /** Allows or forbids orders and renewals; forbidden while the host may not be the leader. */
  public void setOrdering(boolean allowed) {
    if (ordering != allowed) {
      LOG.atInfo().log("jobs: ordering=%s", allowed);
    }
    ordering = allowed;
    changed();
  }

  /** Returns whether the store takes records and each worker that may hold runs reports. */
  public boolean isSettled() {
    return !recorder.isStoreAway()
        && unaccounted.isEmpty()
        && workers.values().stream().allMatch(WorkerSession::isReporting);
  }

  /** Returns whether the store takes no records at present. */
  public boolean isStoreAway() {
    return recorder.isStoreAway();
  }

  /** Hands in a job. */
  public void submit(JobSpec spec, Consumer<SubmitOutcome> done) {
    Optional<TrackedJob> known = jobs.find(spec.id());
    if (known.isPresent()) {
      if (known.get().stage() == TrackedJob.Stage.ACCEPTING && recorder.isStoreAway()) {
        done.accept(new SubmitOutcome.Unknown());
      } else if (known.get().stage() == TrackedJob.Stage.ACCEPTING) {
        submitting.add(spec.id(), done);
      } else {
        done.accept(new SubmitOutcome.Accepted());
      }
      return;
    }
    if (jobs.ended().outcome(spec.id()).isPresent()) {
      done.accept(new SubmitOutcome.Accepted());
      return;
    }
    Optional<SubmitOutcome.Rejected> rejection = rejection(spec);
    if (rejection.isPresent()) {
      LOG.atInfo().log(
          "jobs: reject job=%s queue=%s reason=%s retry_ms=%d",
          spec.id(),
          spec.queue(),
          rejection.get().reason(),
          rejection.get().retryAfter().toMillis());
      term.metrics().rejected(rejection.get().reason());
      done.accept(rejection.get());
      return;
    }
    accept(spec, done);
  }

  /** Returns the state of a job, or empty if there is none of this name. */
  public Optional<JobView> show(String id) {
    Optional<JobView> ended = jobs.ended().outcome(id).map(stage -> TrackedJob.view(stage, true));
    return ended.isPresent()
        ? ended
        : jobs.find(id)
            .filter(job -> job.stage() != TrackedJob.Stage.ACCEPTING)
            .map(TrackedJob::view);
  }

  /** Cancels a job; {@code done} is called once that is durable. */
  public void cancel(String id, Consumer<CancelOutcome> done) {
    Optional<TrackedJob> found = jobs.find(id);
    Optional<TrackedJob.Stage> ended = jobs.ended().outcome(id);
    if (found.isEmpty() || ended.isPresent()) {
      done.accept(ended.map(WorkCell::cancelOutcome).orElse(CancelOutcome.NO_SUCH_JOB));
      return;
    }
    TrackedJob job = found.get();
    cancelling.add(id, done);
    if (job.stage() != TrackedJob.Stage.CANCELLING) {
      LOG.atInfo().log("jobs: cancel job=%s stage=%s", id, job.stage());
      finish(job, TrackedJob.Stage.CANCELLING, TrackedJob.Stage.CANCELLED);
    }
  }

  /** Returns the accepted jobs of a queue none of whose tasks has started. */
  public long waiting(String queue) {
    return jobs.open().stream()
        .filter(job -> job.spec().queue().equals(queue) && !job.isStarted())
        .filter(job -> job.stage() == TrackedJob.Stage.OPEN)
        .count();
  }

  /** Ends the term; nothing more is ordered or written. */
  @Override
  public void close() {
    closed = true;
    check.cancel();
    recorder.close();
    workers.values().forEach(WorkerSession::close);
    submitting.answerAll(new SubmitOutcome.TermEnded());
    cancelling.answerAll(CancelOutcome.TERM_ENDED);
  }

  private Optional<QueuePolicy> queue(String name) {
    return Optional.ofNullable(queues.get(name));
  }

  private Optional<SubmitOutcome.Rejected> rejection(JobSpec spec) {
    Optional<QueuePolicy> policy = queue(spec.queue());
    if (policy.isEmpty()) {
      return Optional.of(new SubmitOutcome.Rejected("no such queue", STORE_AWAY_RETURN));
    }
    if (recorder.isStoreAway()) {
      return Optional.of(new SubmitOutcome.Rejected("store away", STORE_AWAY_RETURN));
    }
    return AdmissionPolicy.rejection(view(spec, policy.get()))
        .map(retry -> new SubmitOutcome.Rejected("backlog", retry));
  }

  private AdmissionPolicy.View view(JobSpec spec, QueuePolicy policy) {
    double cores = 0;
    for (WorkerSession worker : workers.values()) {
      // A worker that pauses or has not reported yet to a new leader is back within the slack.
      if (worker.isListed()
          && !worker.entry().draining()
          && worker.entry().service().equals(policy.service())) {
        cores += worker.capacity().cpuMillis() / 1000.0;
      }
    }
    double backlog = 0;
    for (TrackedJob job : jobs.open()) {
      if (queue(job.spec().queue()).stream().anyMatch(q -> q.priority() <= policy.priority())) {
        backlog += job.waitingCoreMillis();
      }
    }
    long slack = policy.objectiveMillis(spec) - spec.chainMillis();
    return new AdmissionPolicy.View(cores, backlog, slack);
  }

  private void accept(JobSpec spec, Consumer<SubmitOutcome> done) {
    QueuePolicy policy = queues.get(spec.queue());
    TrackedJob job =
        new TrackedJob(
            spec,
            timer.monotonicMillis(),
            policy.objectiveMillis(spec),
            TrackedJob.Stage.ACCEPTING,
            false);
    jobs.add(job);
    submitting.add(spec.id(), done);
    recorder.accept(
        JobRecords.JOB + spec.id(),
        JobRecords.job(spec, timer.wallMillis()),
        fate -> accepted(job, fate));
    job.steps().stream().filter(job::isReady).forEach(step -> dispatcher.askAhead(job, step));
  }

  private void accepted(TrackedJob job, JobRecorder.Fate fate) {
    SubmitOutcome outcome =
        switch (fate) {
          case STORED -> new SubmitOutcome.Accepted();
          case NOT_STORED -> new SubmitOutcome.Rejected("store away", STORE_AWAY_RETURN);
          case UNKNOWN ->
              recorder.isClosed() ? new SubmitOutcome.TermEnded() : new SubmitOutcome.Unknown();
        };
    long millis = timer.monotonicMillis() - job.submittedMillis();
    if (fate == JobRecorder.Fate.STORED) {
      term.metrics().accepted(millis);
    } else {
      term.metrics().rejected("acceptance " + fate.name().toLowerCase(Locale.ROOT));
    }
    if (fate == JobRecorder.Fate.STORED && job.stage() == TrackedJob.Stage.ACCEPTING) {
      job.stage(TrackedJob.Stage.OPEN);
      changed();
    } else if (fate == JobRecorder.Fate.NOT_STORED) {
      jobs.remove(job);
    }
    LOG.atInfo().log(
        "jobs: accept job=%s queue=%s outcome=%s ms=%d",
        job.id(), job.spec().queue(), fate, millis);
    submitting.answer(job.id(), outcome);
  }

  private void listed(WorkerEntry entry) {
    WorkerSession session = workers.get(entry.id());
    if (session != null) {
      session.listed(entry);
      return;
    }
    WorkerSession added = new WorkerSession(entry, events, client, timer, term.leaseMillis());
    workers.put(entry.id(), added);
    if (jobs.recordedWorkers().contains(entry.id())) {
      added.recorded(true);
    } else {
      recordWorker(added);
    }
    LOG.atInfo().log("workers: known worker=%s rack=%s", entry.id(), entry.rack());
    added.open();
  }

  private void recordWorker(WorkerSession worker) {
    recorder.write(
        JobRecords.WORKER + worker.id(),
        () -> ByteString.copyFromUtf8(Long.toString(worker.entry().born())),
        () -> {
          worker.recorded(true);
          changed();
        });
  }

  private boolean isAccounted(TrackedJob job) {
    return !job.isInherited() || unaccounted.isEmpty();
  }

  private void check() {
    if (closed) {
      return;
    }
    long now = timer.monotonicMillis();
    workers.values().forEach(worker -> worker.checkLapse(now));
    if (now > accountedMillis && !unaccounted.isEmpty()) {
      LOG.atInfo().log("workers: leases of former leaders are over workers=%s", unaccounted);
      unaccounted.clear();
    }
    workers.values().removeIf(this::isGone);
    endedJobs.run(now);
    advice.serve();
    changed();
  }

  private boolean isGone(WorkerSession worker) {
    if (worker.isListed() || !worker.isIdle() || unaccounted.contains(worker.id())) {
      return false;
    }
    worker.close();
    LOG.atInfo().log("workers: gone worker=%s", worker.id());
    recorder.write(JobRecords.WORKER + worker.id(), () -> ByteString.EMPTY, () -> {});
    return true;
  }

  private void changed() {
    if (!dispatchDue && !closed) {
      dispatchDue = true;
      timer.after(DISPATCH_DELAY, this::dispatch);
    }
  }

  private void dispatch() {
    dispatchDue = false;
    if (!closed && ordering) {
      dispatcher.dispatch();
    }
  }

  private void record(TrackedJob job) {
    recorder.write(JobRecords.PROGRESS + job.id(), () -> JobRecords.progress(job), () -> {});
  }

  private void finish(TrackedJob job, TrackedJob.Stage during, TrackedJob.Stage durable) {
    job.stage(during);
    recorder.write(JobRecords.JOB + job.id(), () -> ByteString.EMPTY, () -> {});
    recorder.write(
        JobRecords.PROGRESS + job.id(),
        () -> JobRecords.progress(job),
        () -> finished(job, durable));
    if (during != TrackedJob.Stage.CANCELLING) {
      stopRuns(job);
    }
  }

  private void finished(TrackedJob job, TrackedJob.Stage durable) {
    job.stage(durable);
    jobs.finished(job, timer.monotonicMillis());
    stopRuns(job);
    term.metrics().finished(durable, timer.monotonicMillis() - job.submittedMillis());
    LOG.atInfo().log(
        "jobs: end job=%s queue=%s outcome=%s ms=%d objective_ms=%d",
        job.id(),
        job.spec().queue(),
        durable,
        timer.monotonicMillis() - job.submittedMillis(),
        job.objectiveMillis());
    cancelling.answer(job.id(), cancelOutcome(durable));
    changed();
  }

  private static CancelOutcome cancelOutcome(TrackedJob.Stage durable) {
    return durable == TrackedJob.Stage.CANCELLED
        ? CancelOutcome.CANCELLED
        : CancelOutcome.NO_SUCH_JOB;
  }

  private void stopRuns(TrackedJob job) {
    for (TrackedStep step : job.steps()) {
      for (TrackedTask task : step.tasks()) {
        task.worker()
            .map(workers::get)
            .ifPresent(worker -> worker.stop(task.name(), task.currentRun()));
      }
    }
  }

  private void ended(WorkerSession worker, Ended end) {
    Optional<TrackedTask> found = jobs.task(end.task());
    if (found.isEmpty()) {
      return;
    }
    TrackedTask task = found.get();
    TrackedJob job = jobs.find(end.task().job()).orElseThrow();
    TrackedStep step = job.steps().get(end.task().step());
    task.seenRun(end.run());
    task.saved(end.checkpoint());
    task.release(end.run());
    term.metrics().run(end.cause());
    if (end.cause() != WorkerClient.EndCause.DONE) {
      LOG.atInfo().log(
          "jobs: run ended task=%s run=%d cause=%s worker=%s",
          end.task(), end.run(), end.cause(), worker.id());
    }
    if (job.stage() != TrackedJob.Stage.OPEN) {
      return;
    }
    switch (end.cause()) {
      case DONE -> done(worker, job, step, task, end.run());
      case FAILED -> failed(worker, job, step, task, end.run());
      default -> {
        // Stopped, lapsed, broken or alone: the task waits again, and no attempt is used up.
      }
    }
  }

  private void done(
      WorkerSession worker, TrackedJob job, TrackedStep step, TrackedTask task, int run) {
    worker.countEnd(false);
    List<TrackedTask> completed = step.spec().gang() ? step.tasks() : List.of(task);
    for (TrackedTask each : completed) {
      if (!each.isDone()) {
        each.markDone(run);
        stopOther(each, run);
      }
    }
    if (job.isDone()) {
      finish(job, TrackedJob.Stage.COMPLETING, TrackedJob.Stage.COMPLETED);
    } else {
      record(job);
      if (step.isDone()) {
        askForNext(job);
      }
    }
  }

  private void stopOther(TrackedTask task, int doneRun) {
    if (task.worker().isPresent() && task.currentRun() != doneRun) {
      task.worker()
          .map(workers::get)
          .ifPresent(other -> other.stop(task.name(), task.currentRun()));
    }
  }

  private void askForNext(TrackedJob job) {
    job.steps().stream()
        .filter(next -> !next.isDone() && !next.advice().isAnswered() && job.isReady(next))
        .forEach(next -> dispatcher.askAhead(job, next));
  }

  private void failed(
      WorkerSession worker, TrackedJob job, TrackedStep step, TrackedTask task, int run) {
    worker.countEnd(true);
    TrackedTask counter = step.counter(task);
    if (!counter.countFailure(run)) {
      return;
    }
    int attempts = queue(job.spec().queue()).map(QueuePolicy::maxAttempts).orElse(1);
    if (counter.failures() >= attempts) {
      finish(job, TrackedJob.Stage.FAILING, TrackedJob.Stage.FAILED);
    } else {
      record(job);
    }
  }

  /** What the sessions of workers tell. */
  private final class Events implements WorkerSession.Cell {
    @Override
    public boolean mayOrder() {
      return ordering && !closed;
    }

    @Override
    public WorkerSession.Found found(WorkerSession worker, Running running) {
      Optional<TrackedTask> task = jobs.task(running.task());
      if (task.isEmpty()) {
        LOG.atInfo().log("jobs: unknown run task=%s worker=%s", running.task(), worker.id());
        // The job has ended and its demand is not on record: until the run is gone, it may hold
        // all.
        return new WorkerSession.Found(worker.capacity(), false);
      }
      TrackedJob job = jobs.find(running.task().job()).orElseThrow();
      Resources demand = job.steps().get(running.task().step()).spec().demand();
      TrackedTask known = task.get();
      known.seenRun(running.run());
      boolean wanted = job.stage() == TrackedJob.Stage.OPEN && known.isWaiting();
      if (wanted) {
        known.assign(worker.id(), running.run());
        job.started();
      }
      LOG.atInfo().log(
          "jobs: found run task=%s run=%d worker=%s wanted=%s",
          running.task(), running.run(), worker.id(), wanted);
      return new WorkerSession.Found(demand, wanted);
    }

    @Override
    public void started(WorkerSession worker, TaskRun run) {
      term.metrics().run(run.phase());
      jobs.find(run.task().job()).ifPresent(job -> started(job, run));
    }

    private void started(TrackedJob job, TaskRun run) {
      job.started();
      long readySince = job.steps().get(run.task().step()).readySinceMillis();
      term.metrics().placed(timer.monotonicMillis() - readySince);
    }

    @Override
    public void refused(WorkerSession worker, TaskRun run, Refusal refusal) {
      LOG.atInfo().log(
          "jobs: start refused task=%s run=%d worker=%s refusal=%s",
          run.task(), run.number(), worker.id(), refusal);
      term.metrics().run(refusal);
      jobs.task(run.task()).ifPresent(task -> task.release(run.number()));
      if (refusal == Refusal.TICKET) {
        jobs.find(run.task().job())
            .map(job -> job.steps().get(run.task().step()))
            .ifPresent(step -> step.advice().refused(worker.id()));
      }
      changed();
    }

    @Override
    public void silent(WorkerSession worker) {
      worker.recorded(false);
      recorder.write(JobRecords.WORKER + worker.id(), () -> ByteString.EMPTY, () -> {});
    }

    @Override
    public void back(WorkerSession worker) {
      recordWorker(worker);
    }

    @Override
    public boolean isGang(TaskName task) {
      return jobs.find(task.job()).stream()
          .flatMap(job -> job.steps().stream())
          .anyMatch(step -> step.index() == task.step() && step.spec().gang());
    }

    @Override
    public void saved(TaskName task, String checkpoint) {
      jobs.task(task).ifPresent(known -> known.saved(checkpoint));
    }

    @Override
    public void ended(WorkerSession worker, Ended end) {
      WorkCell.this.ended(worker, end);
    }

    @Override
    public void lost(WorkerSession worker, TaskRun run) {
      LOG.atInfo().log(
          "jobs: run lost task=%s run=%d worker=%s phase=%s",
          run.task(), run.number(), worker.id(), run.phase());
      jobs.task(run.task()).ifPresent(task -> task.release(run.number()));
      changed();
    }

    @Override
    public void whenDurable(Runnable action) {
      recorder.afterAll(action);
    }

    @Override
    public void fenced() {
      term.fenced().run();
    }

    @Override
    public void changed() {
      for (WorkerSession worker : workers.values()) {
        if (worker.isConfirmed()) {
          unaccounted.remove(worker.id());
        }
      }
      WorkCell.this.changed();
    }
  }
}

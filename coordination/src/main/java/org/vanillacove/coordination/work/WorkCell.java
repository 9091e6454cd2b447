package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
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
import org.vanillacove.coordination.work.api.WorkerClient.CurrentRun;
import org.vanillacove.coordination.work.api.WorkerClient.EndedRun;
import org.vanillacove.coordination.work.api.WorkerClient.Refusal;
import org.vanillacove.coordination.work.api.WorkerEntry;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.tenancy.OrganisationTable;
import org.vanillacove.state.work.JobSpec;
import org.vanillacove.state.work.QueuePolicy;

/**
 * Schedules the jobs of the cell on the leading host during one term: accepts jobs, starts their
 * tasks, processes the ends of runs and reports the state of each job.
 */
public final class WorkCell implements AutoCloseable {
  /** Logs decisions on jobs (prefix {@code jobs:}) and on workers ({@code workers:}). */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Delay before tasks are placed, so that one pass handles several changes. */
  private static final Duration DISPATCH_DELAY = Duration.ofMillis(8);

  /** Period of the maintenance pass, which also detects lapsed leases. */
  private static final Duration CHECK_PERIOD = Duration.ofMillis(250);

  /** Sends commands to workers. */
  private final WorkerClient client;

  /** Clock and timers; callbacks run on the scheduling thread. */
  private final TimerService timer;

  /** Lease length, retention time and callbacks of this term. */
  private final Term term;

  /** All known jobs: open ones and recently ended ones. */
  private final JobTable jobs = new JobTable();

  /** Sessions by worker identifier. */
  private final Map<String, WorkerSession> workers = new HashMap<>();

  /** Workers that may hold runs of former leaders which this one doesn't know yet. */
  private final UnreportedWorkers unreportedWorkers;

  /** Directory of workers as last read, by identifier. */
  private Map<String, WorkerEntry> directory = Map.of();

  /** Writes job, progress and worker records to the store. */
  private final JobRecorder recorder;

  /** Policies of the queues, also of those that left the configuration. */
  private final QueueTable queues;

  /** Records of the workers that may hold runs. */
  private final WorkerRecords workerRecords;

  /** Bundles and deletes the records of ended jobs. */
  private final EndedJobsCleanup endedJobs;

  /** Schedules the calls to the adviser. */
  private final AdviceScheduler advice;

  /** Stops runs of gangs that lack a member. */
  private final GangSupervisor gangs;

  /** Decides on runs that workers report and this leader did not start. */
  private final FoundRuns foundRuns;

  /** Tells stalled runs from long ones. */
  private final StallSupervisor stalls;

  /** What organisations have running, and their caps. */
  private final OrganisationUsage usage;

  /** Metrics and log lines on organisations. */
  private final OrganisationReport organisationReport;

  /** Lets steps wait for a place near their data or their group. */
  private final LocalityPlanner locality;

  /** Places waiting tasks on workers and starts them. */
  private final Dispatcher dispatcher;

  /** Receives the events of all worker sessions. */
  private final SessionCallbacks sessionCallbacks = new SessionCallbacks();

  /** Accepts or rejects submitted jobs. */
  private final JobIntake intake;

  /** Jobs that were cancelled while they were not known. */
  private final Tombstones tombstones;

  /** Cancels jobs. */
  private final JobCanceller canceller;

  /** Subscription of the maintenance pass; cancelled on close. */
  private final TimerService.Subscription check;

  /** Whether a dispatch is already scheduled. */
  private boolean dispatchDue;

  /** Whether commands may be sent, by the last check of the leadership. */
  private final CommandPermission permission;

  /** Whether the term has ended; no command or record is sent after that. */
  private boolean closed;

  /**
   * Creates a cell without jobs, queues or workers.
   *
   * @param term lease length, retention time and callbacks of the term
   * @param timer clock and timers; callbacks run on the scheduling thread
   * @param store durable records
   * @param client sends commands to workers
   * @param adviser decides which workers a step may use
   */
  public WorkCell(
      Term term, TimerService timer, JobStore store, WorkerClient client, Adviser adviser) {
    this.term = term;
    this.timer = timer;
    this.client = client;
    recorder = new JobRecorder(store, timer, term.fenced());
    queues = new QueueTable(recorder);
    workerRecords = new WorkerRecords(recorder, this::scheduleDispatch);
    endedJobs = new EndedJobsCleanup(jobs, recorder, term.statusMillis());
    tombstones =
        new Tombstones(
            recorder, term.metrics(), timer, EndedJobsCleanup.retentionMillis(term.statusMillis()));
    advice = new AdviceScheduler(adviser, timer, this::scheduleDispatch);
    gangs = new GangSupervisor(jobs, timer, term.metrics(), term.gangWaitMillis(), this::stopRun);
    foundRuns = new FoundRuns(jobs, gangs);
    stalls = new StallSupervisor(jobs, workers, term.metrics(), timer);
    locality = new LocalityPlanner(jobs, term.metrics());
    unreportedWorkers =
        new UnreportedWorkers(
            workers,
            workerRecords,
            UnreportedWorkers.formerLeasesEndMillis(timer.monotonicMillis(), term.lease()),
            gangs::stopIncompleteRuns);
    usage = new OrganisationUsage(jobs::find, () -> unreportedWorkers.capacity(directory));
    organisationReport = new OrganisationReport(jobs, usage, workers, term.metrics());
    dispatcher =
        new Dispatcher(
            jobs,
            workers,
            queues::policy,
            this::areRunsKnown,
            advice,
            gangs,
            usage,
            locality,
            timer);
    intake =
        new JobIntake(
            jobs,
            tombstones,
            new AdmissionForecast(jobs, workers, queues, usage, timer),
            queues,
            usage,
            recorder,
            term.metrics(),
            timer,
            this::acceptanceChanged);
    canceller =
        new JobCanceller(
            jobs,
            tombstones,
            intake,
            job -> finish(job, TrackedJob.Stage.CANCELLING, TrackedJob.Stage.CANCELLED));
    permission = new CommandPermission(timer);
    check = timer.every(CHECK_PERIOD, this::check);
  }

  /**
   * Properties that stay the same during a term.
   *
   * @param epoch epoch of the leader
   * @param lease durations of worker leases
   * @param gangWaitMillis time in milliseconds for which a member of a gang waits for the others
   * @param statusMillis time in milliseconds for which the state of an ended job can be queried
   * @param fenced called when a newer leader is detected
   * @param metrics counters and timers of scheduling decisions
   */
  public record Term(
      long epoch,
      LeaseTerms lease,
      long gangWaitMillis,
      long statusMillis,
      Runnable fenced,
      CellMetrics metrics) {}

  /** Restores jobs and workers from all durable records; called once, before any other method. */
  public void load(List<KeyedRecord> records) {
    queues.load(records);
    tombstones.load(records);
    jobs.load(
        records,
        timer.monotonicMillis(),
        timer.wallMillis(),
        term.epoch(),
        spec -> queues.newestKnown(spec.queue()).map(q -> q.objectiveMillis(spec)).orElse(0L));
    queues.recordPolicies(jobs.openQueues());
    jobs.undroppedJobs().forEach(this::dropAcceptance);
    failExhaustedJobs();
    workerRecords.load(jobs.recordedWorkers());
    unreportedWorkers.load(WorkerRecords.capacities(records));
    LOG.atInfo().log(
        "jobs: loaded records=%d open=%d workers=%d",
        records.size(), jobs.open().size(), unreportedWorkers.size());
    scheduleDispatch();
  }

  /** Sets the factor on the run time of tasks away from their data or their group. */
  public void setRemoteFactor(double factor) {
    locality.setRemoteFactor(factor);
  }

  /**
   * Replaces the configured queues and organisations; not called before a configuration has been
   * read.
   */
  public void configure(Map<String, QueuePolicy> configured, OrganisationTable organisations) {
    queues.configure(configured);
    usage.configure(organisations);
    queues.recordPolicies(jobs.openQueues());
    failExhaustedJobs();
    updateDirectory(directory);
  }

  /**
   * Replaces the directory of workers; workers that are missing from it are unlisted. Entries of
   * services that no queue uses are left alone, unless they may hold runs.
   */
  public void updateDirectory(Map<String, WorkerEntry> entries) {
    directory = Map.copyOf(entries);
    Set<String> services = queues.services();
    for (WorkerEntry entry : entries.values()) {
      if (services.contains(entry.service()) || mayHoldRuns(entry.id())) {
        updateWorker(entry);
      }
    }
    for (WorkerSession session : workers.values()) {
      if (!entries.containsKey(session.id())) {
        session.markUnlisted();
      }
    }
    scheduleDispatch();
  }

  /**
   * Allows or forbids commands and lease renewals. A permission expires soon unless it is repeated,
   * so that a process that was suspended does not use an old one.
   */
  public void setCommandsAllowed(boolean allowed) {
    boolean before = mayCommand();
    permission.renew(allowed);
    if (mayCommand() != before) {
      LOG.atInfo().log("jobs: ordering=%s", allowed);
      scheduleDispatch();
    }
  }

  /** Returns whether the store is available and every worker that may hold runs reports. */
  public boolean isOperational() {
    return !recorder.isStoreUnavailable()
        && unreportedWorkers.isEmpty()
        && workers.values().stream().allMatch(WorkerSession::isReporting);
  }

  /** Returns the share of the listed workers that don't answer this leader, 0 to 1. */
  public double silentWorkerShare() {
    return WorkerSession.silentShare(workers.values());
  }

  /** Returns whether the store is unavailable at present. */
  public boolean isStoreUnavailable() {
    return recorder.isStoreUnavailable();
  }

  /**
   * Returns the monotonic time in milliseconds since which the store has refused every append of
   * this leader, empty while it stores them or does not respond.
   */
  public OptionalLong storeRefusesSinceMillis() {
    return recorder.refusedSinceMillis();
  }

  /**
   * Returns the monotonic time in milliseconds since which this leader has waited for the store in
   * vain, empty while it does not wait.
   */
  public OptionalLong waitsForStoreSinceMillis() {
    return recorder.waitingSinceMillis();
  }

  /** Submits a job; a repeated submission gets the outcome of the first one. */
  public void submit(JobSpec spec, Consumer<SubmitOutcome> done) {
    intake.submit(spec, done);
  }

  /** Returns the state of a job, or empty if no accepted job has this identifier. */
  public Optional<JobView> findJob(String id) {
    Optional<JobView> ended = jobs.ended().outcome(id).map(stage -> TrackedJob.view(stage, true));
    Optional<TrackedJob> accepted =
        jobs.find(id).filter(job -> job.stage() != TrackedJob.Stage.ACCEPTING);
    return ended.or(() -> accepted.map(TrackedJob::view));
  }

  /**
   * Returns whether a job belongs to another organisation than the caller's, so that the caller
   * must not see or cancel it.
   */
  public boolean isHidden(String id, Optional<String> caller) {
    return jobs.isHidden(id, caller);
  }

  /**
   * Cancels a job; {@code done} is called once the cancellation is durable. A job that isn't known
   * to the caller won't be accepted if its submission arrives later.
   *
   * @param id identifier of the job
   * @param caller organisation of the caller, empty if it has none
   * @param done called once with the outcome
   */
  public void cancel(String id, Optional<String> caller, Consumer<CancelOutcome> done) {
    canceller.cancel(id, caller, done);
  }

  /**
   * Returns the number of accepted jobs of a queue of which no task has started, including those
   * that were accepted under a former name of the queue.
   */
  public long waiting(String queue) {
    return jobs.open().stream()
        .filter(job -> job.stage() == TrackedJob.Stage.OPEN && !job.isStarted())
        .filter(job -> queues.currentName(job.spec().queue()).equals(queue))
        .count();
  }

  /** Ends the term: sends no more commands or records and answers all pending callers. */
  @Override
  public void close() {
    closed = true;
    check.cancel();
    recorder.close();
    gangs.close();
    organisationReport.close();
    workers.values().forEach(WorkerSession::close);
    intake.close();
    canceller.close();
  }

  private boolean mayCommand() {
    return !closed && permission.isGranted();
  }

  /** Handles a job that is being accepted or whose acceptance has become durable. */
  private void acceptanceChanged(TrackedJob job) {
    if (job.stage() == TrackedJob.Stage.OPEN) {
      scheduleDispatch();
    } else {
      requestAdviceForReadySteps(job);
    }
  }

  private boolean mayHoldRuns(String worker) {
    return workers.containsKey(worker) || unreportedWorkers.contains(worker);
  }

  private void updateWorker(WorkerEntry entry) {
    WorkerSession session = workers.get(entry.id());
    if (session != null) {
      if (!session.isForeign(entry, queues.services())) {
        session.updateEntry(entry);
      }
      return;
    }
    WorkerSession added =
        new WorkerSession(entry, sessionCallbacks, usage, client, timer, term.lease());
    workers.put(entry.id(), added);
    LOG.atInfo().log("workers: added worker=%s rack=%s", entry.id(), entry.rack());
    added.open();
  }

  private boolean areRunsKnown(TrackedJob job) {
    return !job.isInherited() || unreportedWorkers.isEmpty();
  }

  private void check() {
    if (closed) {
      return;
    }
    long now = timer.monotonicMillis();
    workers.values().forEach(worker -> worker.checkLeaseLapse(now));
    unreportedWorkers.expire(now);
    workers.values().removeIf(this::closeIfGone);
    endedJobs.run(now);
    tombstones.expire(now);
    if (queues.keepsRemovedQueues()) {
      queues.dropRemovedQueues(jobs.openQueues());
    }
    advice.sendCalls();
    organisationReport.run(now);
    scheduleDispatch();
  }

  private boolean closeIfGone(WorkerSession worker) {
    if (worker.isListed() || !worker.isIdle() || unreportedWorkers.contains(worker.id())) {
      return false;
    }
    worker.close();
    LOG.atInfo().log("workers: removed worker=%s", worker.id());
    workerRecords.remove(worker.id());
    return true;
  }

  private void scheduleDispatch() {
    if (!dispatchDue && !closed) {
      dispatchDue = true;
      timer.after(DISPATCH_DELAY, this::dispatch);
    }
  }

  private void dispatch() {
    dispatchDue = false;
    if (mayCommand()) {
      dispatcher.dispatch();
    }
  }

  private void writeProgress(TrackedJob job) {
    recorder.write(JobRecords.PROGRESS + job.id(), () -> JobRecords.progress(job), () -> {});
  }

  private void finish(TrackedJob job, TrackedJob.Stage pendingStage, TrackedJob.Stage durable) {
    job.setStage(pendingStage);
    // The outcome goes first: a job that is dropped without an outcome would be unknown.
    recorder.write(
        JobRecords.PROGRESS + job.id(),
        () -> JobRecords.progress(job),
        () -> finished(job, durable));
    dropAcceptance(job.id());
    if (pendingStage != TrackedJob.Stage.CANCELLING) {
      stopRuns(job);
    }
  }

  private void dropAcceptance(String jobId) {
    recorder.write(JobRecords.JOB + jobId, () -> ByteString.EMPTY, () -> {});
  }

  private void finished(TrackedJob job, TrackedJob.Stage durable) {
    job.setStage(durable);
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
    canceller.ended(job);
    scheduleDispatch();
  }

  private void stopRuns(TrackedJob job) {
    for (TrackedStep step : job.steps()) {
      step.tasks().forEach(this::stopRun);
    }
  }

  private void stopRun(TrackedTask task) {
    task.worker()
        .map(workers::get)
        .ifPresent(worker -> worker.stop(task.name(), task.currentRun()));
  }

  private void runEnded(WorkerSession worker, EndedRun end) {
    Optional<TrackedTask> found = jobs.task(end.task());
    if (found.isEmpty()) {
      return;
    }
    TrackedTask task = found.get();
    TrackedJob job = jobs.find(end.task().job()).orElseThrow();
    TrackedStep step = job.steps().get(end.task().step());
    task.observeRun(end.run());
    task.updateCheckpoint(end.checkpoint());
    boolean released = task.release(end.run());
    term.metrics().countRunEvent(end.cause());
    gangs.memberEnded(end.task(), end.run(), end.cause());
    if (end.cause() != WorkerClient.EndCause.DONE) {
      LOG.atInfo().log(
          "jobs: run ended task=%s run=%d cause=%s worker=%s released=%s",
          end.task(), end.run(), end.cause(), worker.id(), released);
    }
    if (job.stage() != TrackedJob.Stage.OPEN) {
      return;
    }
    switch (end.cause()) {
      case DONE -> runSucceeded(worker, job, step, task, end.run());
      case FAILED -> runFailed(worker, job, step, task, end.run());
      default -> {
        // STOPPED, LAPSED, BROKEN or ALONE: the task waits again; no attempt is counted.
      }
    }
  }

  private void runSucceeded(
      WorkerSession worker, TrackedJob job, TrackedStep step, TrackedTask task, int run) {
    worker.countRunResult(false);
    List<TrackedTask> completed = step.spec().gang() ? step.tasks() : List.of(task);
    for (TrackedTask each : completed) {
      if (!each.isDone()) {
        each.markDone(run);
        stopOtherRun(each, run);
      }
    }
    if (job.isDone()) {
      finish(job, TrackedJob.Stage.COMPLETING, TrackedJob.Stage.COMPLETED);
    } else {
      writeProgress(job);
      if (step.isDone()) {
        requestAdviceForReadySteps(job);
      }
    }
  }

  private void stopOtherRun(TrackedTask task, int doneRun) {
    if (task.currentRun() != doneRun) {
      stopRun(task);
    }
  }

  private void requestAdviceForReadySteps(TrackedJob job) {
    job.steps().stream()
        .filter(next -> !next.isDone() && !next.advice().isAnswered() && job.isReady(next))
        .forEach(next -> dispatcher.prefetchAdvice(job, next));
  }

  private void runFailed(
      WorkerSession worker, TrackedJob job, TrackedStep step, TrackedTask task, int run) {
    worker.countRunResult(true);
    if (task.isDone()) {
      return;
    }
    TrackedTask counter = step.failureCounter(task);
    if (!counter.countFailure(run)) {
      return;
    }
    if (isExhausted(job)) {
      finish(job, TrackedJob.Stage.FAILING, TrackedJob.Stage.FAILED);
    } else {
      writeProgress(job);
    }
  }

  private void failExhaustedJobs() {
    jobs.open().stream()
        .filter(job -> job.stage() == TrackedJob.Stage.OPEN && isExhausted(job))
        .toList()
        .forEach(job -> finish(job, TrackedJob.Stage.FAILING, TrackedJob.Stage.FAILED));
  }

  /** Returns whether a task used up its attempts; never before a configuration was read. */
  private boolean isExhausted(TrackedJob job) {
    return queues.policy(job.spec().queue()).stream()
        .anyMatch(policy -> job.maxFailures() >= policy.maxAttempts());
  }

  /** Applies the events of worker sessions to the jobs. */
  private final class SessionCallbacks implements SessionListener {
    @Override
    public boolean mayCommand() {
      return WorkCell.this.mayCommand();
    }

    @Override
    public SessionListener.FoundRun runFound(WorkerSession worker, CurrentRun running) {
      return foundRuns.assess(worker, running);
    }

    @Override
    public void started(WorkerSession worker, TaskRun run) {
      term.metrics().countRunEvent(run.phase());
      gangs.memberPresent(run.task(), run.number());
      jobs.find(run.task().job()).ifPresent(job -> started(job, run));
    }

    private void started(TrackedJob job, TaskRun run) {
      job.markStarted();
      long readySince = job.steps().get(run.task().step()).readySinceMillis();
      term.metrics().placed(timer.monotonicMillis() - readySince);
    }

    @Override
    public void refused(WorkerSession worker, TaskRun run, Refusal refusal) {
      LOG.atInfo().log(
          "jobs: start refused task=%s run=%d worker=%s refusal=%s",
          run.task(), run.number(), worker.id(), refusal);
      term.metrics().countRunEvent(refusal);
      jobs.task(run.task()).ifPresent(task -> task.release(run.number()));
      gangs.memberGone(run.task(), run.number(), refusal);
      if (refusal == Refusal.TICKET) {
        jobs.find(run.task().job())
            .map(job -> job.steps().get(run.task().step()))
            .ifPresent(step -> step.advice().dropTicket(worker.id()));
      }
      capacityChanged();
    }

    @Override
    public void startGivenUp(WorkerSession worker, TaskRun run) {
      gangs.memberGone(run.task(), run.number(), GangSupervisor.Shortfall.UNCONFIRMED);
    }

    @Override
    public void progressed(TaskRun run) {
      gangs.memberWorks(run.task(), run.number());
    }

    @Override
    public boolean isRecorded(WorkerSession worker) {
      return workerRecords.contains(worker.id());
    }

    @Override
    public void leaseLapsed(WorkerSession worker, LeaseBound.Basis basis) {
      term.metrics().leaseLapsed(basis);
      workerRecords.remove(worker.id());
      unreportedWorkers.remove(worker.id());
    }

    @Override
    public void unrecordedWorkerReported(WorkerSession worker) {
      workerRecords.add(worker.entry());
    }

    @Override
    public boolean isStalled(WorkerSession worker, TaskRun run) {
      return stalls.isStalled(worker, run);
    }

    @Override
    public void checkpointSaved(TaskName task, String checkpoint) {
      jobs.task(task).ifPresent(known -> known.updateCheckpoint(checkpoint));
    }

    @Override
    public void ended(WorkerSession worker, EndedRun end, Optional<TaskRun> run) {
      run.filter(known -> end.cause() == WorkerClient.EndCause.DONE).ifPresent(stalls::completed);
      WorkCell.this.runEnded(worker, end);
    }

    @Override
    public void lost(WorkerSession worker, TaskRun run) {
      boolean released =
          jobs.task(run.task()).filter(task -> task.release(run.number())).isPresent();
      LOG.atInfo().log(
          "jobs: run lost task=%s run=%d worker=%s phase=%s released=%s",
          run.task(), run.number(), worker.id(), run.phase(), released);
      gangs.memberGone(run.task(), run.number(), GangSupervisor.Shortfall.LOST);
      capacityChanged();
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
    public void capacityChanged() {
      unreportedWorkers.removeReported();
      WorkCell.this.scheduleDispatch();
    }
  }
}

package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import org.vanillacove.coordination.work.api.SubmitOutcome;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.work.JobSpec;
import org.vanillacove.state.work.QueuePolicy;

/** Accepts or rejects submitted jobs and answers their callers once the outcome is durable. */
final class JobIntake {
  /** Logs acceptances and rejections (prefix {@code jobs:}). */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Retry delay for submissions that are rejected for a missing queue or an unavailable store. */
  private static final Duration REJECTION_RETRY_DELAY = Duration.ofSeconds(2);

  /** All known jobs. */
  private final JobTable jobs;

  /** Forecasts whether a job can be on time. */
  private final AdmissionForecast forecast;

  /** Policies of the queues; only configured ones accept jobs. */
  private final QueueTable queues;

  /** Writes the records of accepted jobs. */
  private final JobRecorder recorder;

  /** Counts outcomes. */
  private final CellMetrics metrics;

  /** Clock by which the age of a job is measured. */
  private final TimerService timer;

  /** Called with each job when it is being accepted and when its acceptance is durable. */
  private final Consumer<TrackedJob> changed;

  /** Callers whose submission waits until the job is durable. */
  private final PendingCallers<SubmitOutcome> callers = new PendingCallers<>();

  /** Creates an intake without pending callers. */
  JobIntake(
      JobTable jobs,
      AdmissionForecast forecast,
      QueueTable queues,
      JobRecorder recorder,
      CellMetrics metrics,
      TimerService timer,
      Consumer<TrackedJob> changed) {
    this.jobs = jobs;
    this.forecast = forecast;
    this.queues = queues;
    this.recorder = recorder;
    this.metrics = metrics;
    this.timer = timer;
    this.changed = changed;
  }

  /** Submits a job; a repeated submission gets the outcome of the first one. */
  void submit(JobSpec spec, Consumer<SubmitOutcome> done) {
    Optional<TrackedJob> known = jobs.find(spec.id());
    if (known.isPresent()) {
      if (known.get().stage() == TrackedJob.Stage.ACCEPTING && recorder.isStoreUnavailable()) {
        done.accept(new SubmitOutcome.Unknown());
      } else if (known.get().stage() == TrackedJob.Stage.ACCEPTING) {
        callers.add(spec.id(), done);
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
      metrics.rejected(rejection.get().reason());
      done.accept(rejection.get());
      return;
    }
    accept(spec, done);
  }

  /** Answers all pending callers at the end of the term. */
  void close() {
    callers.answerAll(new SubmitOutcome.TermEnded());
  }

  private Optional<SubmitOutcome.Rejected> rejection(JobSpec spec) {
    Optional<QueuePolicy> policy = queues.configured(spec.queue());
    if (policy.isEmpty()) {
      return Optional.of(new SubmitOutcome.Rejected("no such queue", REJECTION_RETRY_DELAY));
    }
    if (recorder.isStoreUnavailable()) {
      return Optional.of(new SubmitOutcome.Rejected("store away", REJECTION_RETRY_DELAY));
    }
    return forecast
        .rejection(spec, policy.get())
        .map(retry -> new SubmitOutcome.Rejected("backlog", retry));
  }

  private void accept(JobSpec spec, Consumer<SubmitOutcome> done) {
    long objective = queues.configured(spec.queue()).orElseThrow().objectiveMillis(spec);
    TrackedJob job =
        new TrackedJob(spec, timer.monotonicMillis(), objective, TrackedJob.Stage.ACCEPTING, false);
    jobs.add(job);
    callers.add(spec.id(), done);
    // Before the job, so that no job is durable without a policy.
    queues.recordPolicy(spec.queue());
    recorder.accept(
        JobRecords.JOB + spec.id(),
        JobRecords.job(spec, timer.wallMillis()),
        writeOutcome -> accepted(job, writeOutcome));
    changed.accept(job);
  }

  private void accepted(TrackedJob job, JobRecorder.WriteOutcome writeOutcome) {
    SubmitOutcome outcome =
        switch (writeOutcome) {
          case STORED -> new SubmitOutcome.Accepted();
          case NOT_STORED -> new SubmitOutcome.Rejected("store away", REJECTION_RETRY_DELAY);
          case UNKNOWN ->
              recorder.isClosed() ? new SubmitOutcome.TermEnded() : new SubmitOutcome.Unknown();
        };
    long millis = timer.monotonicMillis() - job.submittedMillis();
    if (writeOutcome == JobRecorder.WriteOutcome.STORED) {
      metrics.accepted(millis);
    } else {
      metrics.rejected("acceptance " + writeOutcome.name().toLowerCase(Locale.ROOT));
    }
    if (writeOutcome == JobRecorder.WriteOutcome.STORED
        && job.stage() == TrackedJob.Stage.ACCEPTING) {
      job.setStage(TrackedJob.Stage.OPEN);
      changed.accept(job);
    } else if (writeOutcome == JobRecorder.WriteOutcome.NOT_STORED) {
      jobs.remove(job);
    }
    LOG.atInfo().log(
        "jobs: accept job=%s queue=%s outcome=%s ms=%d",
        job.id(), job.spec().queue(), writeOutcome, millis);
    callers.answer(job.id(), outcome);
  }
}

package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import org.vanillacove.coordination.work.api.CancelOutcome;
import org.vanillacove.coordination.work.api.SubmitOutcome;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.tenancy.CapPolicy;
import org.vanillacove.state.tenancy.ExcessPolicy;
import org.vanillacove.state.work.JobSpec;
import org.vanillacove.state.work.QueuePolicy;

/** Accepts or rejects submitted jobs and answers their callers once the outcome is durable. */
final class JobIntake {
  /** Logs acceptances and rejections (prefix {@code jobs:}). */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Retry delay for submissions that are rejected for a missing queue or an unavailable store. */
  private static final Duration REJECTION_RETRY_DELAY = Duration.ofSeconds(2);

  /** Reason given to a caller whose identifier is taken; it doesn't tell that the job exists. */
  private static final String NOT_ACCEPTED = "not accepted";

  /** Reason of the rejection of a job whose cancellation was acknowledged before. */
  private static final String CANCELLED_BEFORE = "cancelled before";

  /** Retry delay of a job that doesn't fit the cap of its organisation; caps seldom change. */
  private static final Duration CAP_RETRY_DELAY = Duration.ofMinutes(10);

  /** All known jobs. */
  private final JobTable jobs;

  /** Jobs that were cancelled before their submission arrived. */
  private final Tombstones tombstones;

  /** Forecasts whether a job can be on time. */
  private final AdmissionForecast forecast;

  /** Policies of the queues; only configured ones accept jobs. */
  private final QueueTable queues;

  /** What organisations have running, and their caps. */
  private final OrganisationUsage usage;

  /** Rates at which organisations send jobs. */
  private final OrganisationRates rates;

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
      Tombstones tombstones,
      AdmissionForecast forecast,
      QueueTable queues,
      OrganisationUsage usage,
      JobRecorder recorder,
      CellMetrics metrics,
      TimerService timer,
      Consumer<TrackedJob> changed) {
    this.jobs = jobs;
    this.tombstones = tombstones;
    this.forecast = forecast;
    this.queues = queues;
    this.usage = usage;
    rates = new OrganisationRates(usage);
    this.recorder = recorder;
    this.metrics = metrics;
    this.timer = timer;
    this.changed = changed;
  }

  /** Submits a job; a repeated submission gets the outcome of the first one. */
  void submit(JobSpec spec, Consumer<SubmitOutcome> done) {
    if (jobs.isHidden(spec.id(), spec.organisation())) {
      LOG.atInfo().log(
          "jobs: reject job=%s queue=%s organisation=%s reason=identifier of another organisation",
          spec.id(), spec.queue(), spec.organisation().orElse("none"));
      metrics.rejected(NOT_ACCEPTED);
      done.accept(new SubmitOutcome.Rejected(NOT_ACCEPTED, REJECTION_RETRY_DELAY));
      return;
    }
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
    if (tombstones.contains(spec)) {
      LOG.atInfo().log(
          "jobs: reject job=%s queue=%s reason=%s", spec.id(), spec.queue(), CANCELLED_BEFORE);
      metrics.rejected(CANCELLED_BEFORE);
      done.accept(new SubmitOutcome.Cancelled());
      return;
    }
    boolean owed = rates.take(spec, timer.monotonicMillis());
    Optional<SubmitOutcome.Rejected> rejection = rejection(spec, owed);
    if (rejection.isPresent()) {
      if (owed) {
        rates.giveBack(spec);
      }
      LOG.atInfo().log(
          "jobs: reject job=%s queue=%s reason=%s detail=%s retry_ms=%d",
          spec.id(),
          spec.queue(),
          rejection.get().reason(),
          rejection.get().detail(),
          rejection.get().retryAfter().toMillis());
      metrics.rejected(rejection.get().reason());
      usage.countRejected(spec);
      done.accept(rejection.get());
      return;
    }
    accept(spec, owed, done);
  }

  /**
   * Runs {@code cancel} once a job that is being accepted is durable or rejected. A rejected job
   * must not leave an end behind, so nothing is written until then.
   */
  void cancelOnceAccepted(String id, Runnable cancel, Consumer<CancelOutcome> done) {
    callers.add(
        id,
        outcome -> {
          switch (outcome) {
            case SubmitOutcome.Accepted accepted -> cancel.run();
            // Another copy of the submission may still arrive.
            case SubmitOutcome.Rejected rejected -> cancel.run();
            case SubmitOutcome.Cancelled cancelled -> cancel.run();
            // Another outcome follows, once the store answers.
            case SubmitOutcome.Unknown unknown -> cancelOnceAccepted(id, cancel, done);
            case SubmitOutcome.TermEnded ended -> done.accept(CancelOutcome.TERM_ENDED);
          }
        });
  }

  /** Answers all pending callers at the end of the term. */
  void close() {
    callers.answerAll(new SubmitOutcome.TermEnded());
  }

  private Optional<SubmitOutcome.Rejected> rejection(JobSpec spec, boolean owed) {
    Optional<QueuePolicy> policy = queues.configured(spec.queue());
    if (policy.isEmpty()) {
      return Optional.of(new SubmitOutcome.Rejected("no such queue", REJECTION_RETRY_DELAY));
    }
    if (recorder.isStoreUnavailable()) {
      return Optional.of(new SubmitOutcome.Rejected("store away", REJECTION_RETRY_DELAY));
    }
    Optional<CapPolicy.Excess> excess = usage.excess(spec);
    if (excess.isPresent()) {
      return Optional.of(exceedsCap(excess.get()));
    }
    if (!owed) {
      Optional<Duration> retry =
          ExcessPolicy.rejection(
              spec.id(), forecast.view(spec, policy.get(), false), rates.millisToNext(spec));
      if (retry.isPresent()) {
        return Optional.of(new SubmitOutcome.Rejected("beyond weight", retry.get()));
      }
    }
    return forecast
        .rejection(spec, policy.get(), owed)
        .map(retry -> new SubmitOutcome.Rejected("backlog", retry));
  }

  private static SubmitOutcome.Rejected exceedsCap(CapPolicy.Excess excess) {
    String detail =
        String.format(
            Locale.ROOT,
            "%d tasks of %d each at a limit of %d",
            excess.tasks(),
            excess.demand(),
            excess.limit());
    return new SubmitOutcome.Rejected(
        "exceeds cap of " + excess.component(), detail, CAP_RETRY_DELAY);
  }

  private void accept(JobSpec spec, boolean owed, Consumer<SubmitOutcome> done) {
    long objective = queues.configured(spec.queue()).orElseThrow().objectiveMillis(spec);
    TrackedJob job =
        new TrackedJob(spec, timer.monotonicMillis(), objective, TrackedJob.Stage.ACCEPTING, false);
    if (!owed) {
      job.markExcess();
    }
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
    callers.answer(job.id(), outcome(writeOutcome));
  }

  private SubmitOutcome outcome(JobRecorder.WriteOutcome writeOutcome) {
    if (writeOutcome == JobRecorder.WriteOutcome.STORED) {
      return new SubmitOutcome.Accepted();
    }
    if (recorder.isClosed()) {
      // A newer leader, which fenced this one, may have accepted the job.
      return new SubmitOutcome.TermEnded();
    }
    return writeOutcome == JobRecorder.WriteOutcome.NOT_STORED
        ? new SubmitOutcome.Rejected("store away", REJECTION_RETRY_DELAY)
        : new SubmitOutcome.Unknown();
  }
}

package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.function.Consumer;
import org.vanillacove.coordination.work.api.CancelOutcome;

/** Cancels jobs and answers their callers once the cancellation is durable. */
final class JobCanceller {
  /** Logs cancellations (prefix {@code jobs:}). */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** All known jobs. */
  private final JobTable jobs;

  /** Tombstones of jobs that were cancelled while they were not known. */
  private final Tombstones tombstones;

  /** Tells when a job that is being accepted can be cancelled. */
  private final JobIntake intake;

  /** Ends a job as cancelled; {@link #ended} is called once that is durable. */
  private final Consumer<TrackedJob> finish;

  /** Callers whose cancellation waits until it is durable. */
  private final PendingCallers<CancelOutcome> callers = new PendingCallers<>();

  /** Creates a canceller without pending callers. */
  JobCanceller(
      JobTable jobs, Tombstones tombstones, JobIntake intake, Consumer<TrackedJob> finish) {
    this.jobs = jobs;
    this.tombstones = tombstones;
    this.intake = intake;
    this.finish = finish;
  }

  /**
   * Cancels a job. A job that isn't known, or not to the caller, won't be accepted from its
   * organisation any more.
   *
   * @param id identifier of the job
   * @param caller organisation of the caller, empty if it has none
   * @param done called once with the outcome
   */
  void cancel(String id, Optional<String> caller, Consumer<CancelOutcome> done) {
    Optional<TrackedJob> found = jobs.find(id);
    Optional<TrackedJob.Stage> ended = jobs.ended().outcome(id);
    if (jobs.isHidden(id, caller) || (found.isEmpty() && ended.isEmpty())) {
      tombstones.add(new Tombstones.Tombstone(id, caller), done);
      return;
    }
    if (ended.isPresent()) {
      done.accept(outcome(ended.get()));
      return;
    }
    TrackedJob job = found.orElseThrow();
    if (job.stage() == TrackedJob.Stage.ACCEPTING) {
      intake.cancelOnceAccepted(id, () -> cancel(id, caller, done), done);
      return;
    }
    callers.add(id, done);
    if (job.stage() != TrackedJob.Stage.CANCELLING) {
      LOG.atInfo().log("jobs: cancel job=%s stage=%s", id, job.stage());
      finish.accept(job);
    }
  }

  /** Answers the callers that wait for the end of a job, which is durable. */
  void ended(TrackedJob job) {
    callers.answer(job.id(), outcome(job.stage()));
  }

  /** Answers all pending callers at the end of the term. */
  void close() {
    callers.answerAll(CancelOutcome.TERM_ENDED);
    tombstones.close();
  }

  private static CancelOutcome outcome(TrackedJob.Stage durable) {
    return durable == TrackedJob.Stage.CANCELLED
        ? CancelOutcome.CANCELLED
        : CancelOutcome.NO_SUCH_JOB;
  }
}

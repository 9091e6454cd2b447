package org.vanillacove.coordination.scheduling;

import org.vanillacove.coordination.stream.CellStore;
import org.vanillacove.protocol.timeline.TimelineRecorder;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.JobSpec;

/**
 * Adds changes made by callers to the timeline; used on the leader only, so that each appears once.
 */
final class TimelineEventWriter {
  /** Cell state built from the records of the log. */
  private final CellStore store;

  /** Records events for operators. */
  private final TimelineRecorder timeline;

  TimelineEventWriter(CellStore store, TimelineRecorder timeline) {
    this.store = store;
    this.timeline = timeline;
  }

  /** Adds the event of an applied record, if operators are to see it. */
  void recordApplied(long offset, CellRecord record) {
    switch (record) {
      case CellRecord.JobAccepted accepted when isNewJob(offset, accepted) ->
          timeline.record("job-accepted", accepted.jobId(), describe(accepted.spec()));
      case CellRecord.JobCancelled cancelled ->
          timeline.record("job-cancelled", cancelled.jobId(), cancelled.reason());
      case CellRecord.ConfigurationChanged changed ->
          timeline.record(
              "configuration-accepted",
              "version " + offset,
              "by " + changed.author() + ": " + changed.reason());
      case CellRecord.WorkerChanged changed ->
          timeline.record(
              "worker-changed", changed.workerId(), changed.status() + ": " + changed.reason());
      case CellRecord.DomainDeclaredLost lost ->
          timeline.record("domain-declared-lost", lost.zone().orElse(lost.region()), lost.reason());
      default -> {}
    }
  }

  private static String describe(JobSpec spec) {
    String tasks = spec.taskCount() == 1 ? "1 task" : spec.taskCount() + " tasks";
    return tasks + " of job " + spec.name() + ", team " + spec.team();
  }

  /**
   * Returns whether the record created the job; a caller may repeat a submission with the same id.
   */
  private boolean isNewJob(long offset, CellRecord.JobAccepted accepted) {
    return store.read(
        state ->
            state.job(accepted.jobId()).filter(job -> job.acceptedOffset() == offset).isPresent());
  }
}

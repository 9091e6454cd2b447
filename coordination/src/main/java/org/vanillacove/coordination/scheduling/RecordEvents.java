package org.vanillacove.coordination.scheduling;

import org.vanillacove.coordination.stream.CellStore;
import org.vanillacove.protocol.timeline.TimelineRecorder;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.JobSpec;

/** Puts changes that callers made into the time line; on the leader only, so each shows once. */
final class RecordEvents {
  /** The folded state. */
  private final CellStore store;

  /** Takes events. */
  private final TimelineRecorder timeline;

  RecordEvents(CellStore store, TimelineRecorder timeline) {
    this.store = store;
    this.timeline = timeline;
  }

  /** Takes note of a folded record that counted. */
  void folded(long offset, CellRecord record) {
    switch (record) {
      case CellRecord.JobAccepted accepted when isFirst(offset, accepted) ->
          timeline.record("job-accepted", accepted.jobId(), textOf(accepted.spec()));
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

  private static String textOf(JobSpec spec) {
    String tasks = spec.taskCount() == 1 ? "1 task" : spec.taskCount() + " tasks";
    return tasks + " of job " + spec.name() + ", team " + spec.team();
  }

  /** Returns whether a job was new, since a caller may submit it again under its identifier. */
  private boolean isFirst(long offset, CellRecord.JobAccepted accepted) {
    return store.read(
        state ->
            state.job(accepted.jobId()).filter(job -> job.acceptedOffset() == offset).isPresent());
  }
}

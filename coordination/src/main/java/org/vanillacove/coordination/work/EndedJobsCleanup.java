package org.vanillacove.coordination.work;

import com.google.protobuf.ByteString;

/** Bundles the records of ended jobs and deletes them after the retention time. */
final class EndedJobsCleanup {
  /** Retention beyond the time that users were promised. */
  private static final long STATUS_MARGIN_MILLIS = 10_000;

  /** Table whose ended jobs are bundled and removed. */
  private final JobTable jobs;

  /** Writes bundles and deletes single records. */
  private final JobRecorder recorder;

  /** Time for which the outcome of an ended job can be queried, in milliseconds. */
  private final long retentionMillis;

  /** Creates a cleanup that keeps ended jobs for {@code statusMillis} and a margin. */
  EndedJobsCleanup(JobTable jobs, JobRecorder recorder, long statusMillis) {
    this.jobs = jobs;
    this.recorder = recorder;
    this.retentionMillis = retentionMillis(statusMillis);
  }

  /** Returns how long identifiers are remembered if states can be queried so long. */
  static long retentionMillis(long statusMillis) {
    return statusMillis + STATUS_MARGIN_MILLIS;
  }

  /** Bundles settled jobs and deletes the records whose retention time is over. */
  void run(long nowMillis) {
    EndedJobs ended = jobs.ended();
    ended.bundle(nowMillis).ifPresent(this::storeBundle);
    ended.forgetBundles(nowMillis - retentionMillis).forEach(bundle -> drop(bundle.key()));
    ended.forgetUnbundled(nowMillis - retentionMillis).forEach(this::dropUnbundled);
  }

  /** Writes a bundle, then deletes the single records that it replaces. */
  private void storeBundle(EndedJobs.Bundle bundle) {
    recorder.write(bundle.key(), () -> JobRecords.ended(bundle), () -> {});
    bundle.jobs().forEach(this::dropUnbundled);
  }

  private void dropUnbundled(EndedJobs.Ended job) {
    drop(JobRecords.PROGRESS + job.id());
    jobs.dropTasks(job.id());
  }

  private void drop(String key) {
    recorder.write(key, () -> ByteString.EMPTY, () -> {});
  }
}

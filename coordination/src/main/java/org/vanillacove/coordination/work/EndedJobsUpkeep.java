package org.vanillacove.coordination.work;

import com.google.protobuf.ByteString;

/** Bundles and forgets the records of jobs that ended. */
final class EndedJobsUpkeep {
  /** Time beyond the users' bound for which an ended job stays known. */
  private static final long STATUS_MARGIN_MILLIS = 10_000;

  /** Jobs. */
  private final JobTable jobs;

  /** Writes records. */
  private final JobRecorder recorder;

  /** Time for which an ended job stays known, in milliseconds. */
  private final long statusMillis;

  /** Creates the upkeep. */
  EndedJobsUpkeep(JobTable jobs, JobRecorder recorder, long statusMillis) {
    this.jobs = jobs;
    this.recorder = recorder;
    this.statusMillis = statusMillis + STATUS_MARGIN_MILLIS;
  }

  /** Bundles and forgets what is due at {@code nowMillis}. */
  void run(long nowMillis) {
    EndedJobs ended = jobs.ended();
    ended.bundle(nowMillis).ifPresent(this::store);
    ended.forgetBundles(nowMillis - statusMillis).forEach(bundle -> drop(bundle.key()));
    ended.forgetSingle(nowMillis - statusMillis).forEach(this::dropSingle);
  }

  /** Stores a bundle before the records that it stands for go. */
  private void store(EndedJobs.Bundle bundle) {
    recorder.write(bundle.key(), () -> JobRecords.ended(bundle), () -> {});
    bundle.jobs().forEach(this::dropSingle);
  }

  private void dropSingle(EndedJobs.Ended job) {
    drop(JobRecords.PROGRESS + job.id());
    jobs.dropTasks(job.id());
  }

  private void drop(String key) {
    recorder.write(key, () -> ByteString.EMPTY, () -> {});
  }
}

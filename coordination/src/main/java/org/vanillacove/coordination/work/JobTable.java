package org.vanillacove.coordination.work;

import com.google.protobuf.ByteString;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.vanillacove.coordination.work.api.KeyedRecord;
import org.vanillacove.coordination.work.api.TaskName;
import org.vanillacove.protocol.generated.WorkProgressMessage;
import org.vanillacove.protocol.generated.WorkTaskMessage;
import org.vanillacove.state.work.JobSpec;

/** Index of all known jobs, the open ones among them, and the jobs that ended. */
final class JobTable {
  /**
   * Run numbers of a task that one leader may use. Runs are not recorded when they start, so each
   * leader numbers the runs of inherited jobs in a range of its own.
   */
  private static final int RUNS_PER_EPOCH = 1 << 14;

  /** Jobs with their tasks, by identifier; ended ones stay until they are bundled. */
  private final Map<String, TrackedJob> jobs = new HashMap<>();

  /** Jobs without a durable end. */
  private final Set<TrackedJob> open = new HashSet<>();

  /** Workers that were recorded when the records were loaded; not updated after that. */
  private final Set<String> recordedWorkers = new HashSet<>();

  /** Outcomes of ended jobs that can still be queried. */
  private final EndedJobs ended = new EndedJobs();

  /** Ended jobs whose acceptance was still in the store when the records were loaded. */
  private final Set<String> undroppedJobs = new HashSet<>();

  /** Upper bound of the run numbers of former leaders. */
  private int lastFormerRun;

  Optional<TrackedJob> find(String id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /**
   * Returns whether a job must not be shown to a caller, since it belongs to another organisation.
   * Jobs without an organisation are shown to all.
   *
   * @param caller organisation of the caller, empty if it has none
   */
  boolean isHidden(String id, Optional<String> caller) {
    Optional<String> owner =
        find(id).map(job -> job.spec().organisation()).orElseGet(() -> ended.organisation(id));
    return owner.isPresent() && !owner.equals(caller);
  }

  Optional<TrackedTask> task(TaskName name) {
    return find(name.job())
        .filter(job -> name.step() >= 0 && name.step() < job.steps().size())
        .map(job -> job.steps().get(name.step()).tasks())
        .filter(tasks -> name.index() >= 0 && name.index() < tasks.size())
        .map(tasks -> tasks.get(name.index()));
  }

  Collection<TrackedJob> open() {
    return Collections.unmodifiableSet(open);
  }

  /** Returns the names of the queues that have open jobs. */
  Set<String> openQueues() {
    return open.stream().map(job -> job.spec().queue()).collect(Collectors.toSet());
  }

  /** Returns the workers that may hold runs of a former leader, as the loaded records say. */
  Set<String> recordedWorkers() {
    return Collections.unmodifiableSet(recordedWorkers);
  }

  /**
   * Returns the ended jobs whose acceptance must be removed from the store: their leader was lost
   * after it had recorded the outcome.
   */
  Set<String> undroppedJobs() {
    return Collections.unmodifiableSet(undroppedJobs);
  }

  void add(TrackedJob job) {
    jobs.put(job.id(), job);
    if (!job.stage().isFinal()) {
      open.add(job);
    }
  }

  void remove(TrackedJob job) {
    jobs.remove(job.id(), job);
    open.remove(job);
  }

  /** Returns the outcomes of the jobs that ended. */
  EndedJobs ended() {
    return ended;
  }

  /** Moves {@code job}, whose end is durable, from the open to the ended jobs. */
  void finished(TrackedJob job, long nowMillis) {
    open.remove(job);
    ended.add(new EndedJobs.Ended(job.id(), job.stage(), job.spec().organisation(), nowMillis));
  }

  /** Removes the steps and tasks of an ended job; its outcome stays. */
  void dropTasks(String id) {
    jobs.remove(id);
  }

  /**
   * Restores the table from the latest records of all keys.
   *
   * @param records latest record of each key
   * @param nowMillis monotonic time in milliseconds
   * @param wallMillis wall-clock time in milliseconds, to compute the age of accepted jobs
   * @param epoch epoch of this leader
   * @param objectives computes the objective of a job
   */
  void load(
      List<KeyedRecord> records,
      long nowMillis,
      long wallMillis,
      long epoch,
      Objectives objectives) {
    lastFormerRun = (int) Math.min(epoch * RUNS_PER_EPOCH, Integer.MAX_VALUE / 2);
    Map<String, ByteString> progress = new HashMap<>();
    for (KeyedRecord each : records) {
      if (each.key().startsWith(JobRecords.PROGRESS)) {
        progress.put(each.key().substring(JobRecords.PROGRESS.length()), each.value());
      } else if (each.key().startsWith(JobRecords.WORKER)) {
        recordedWorkers.add(each.key().substring(JobRecords.WORKER.length()));
      } else if (each.key().startsWith(JobRecords.ENDED)) {
        JobRecords.parseEnded(each.value(), nowMillis).ifPresent(ended::add);
      }
    }
    for (KeyedRecord each : records) {
      if (each.key().startsWith(JobRecords.JOB)) {
        // Clocks of hosts differ, so the computed age may be negative; 0 is its minimum.
        long ageMillis = Math.max(0, wallMillis - JobRecords.acceptedWallMillis(each.value()));
        JobRecords.parseJob(each.value())
            .ifPresent(spec -> addInherited(spec, nowMillis - ageMillis, objectives.millis(spec)));
      }
    }
    progress.forEach(
        (id, bytes) ->
            JobRecords.parseProgress(bytes).ifPresent(message -> restore(id, message, nowMillis)));
  }

  private void addInherited(JobSpec spec, long acceptedMillis, long objectiveMillis) {
    if (ended.outcome(spec.id()).isPresent()) {
      undroppedJobs.add(spec.id());
      return;
    }
    TrackedJob job =
        new TrackedJob(spec, acceptedMillis, objectiveMillis, TrackedJob.Stage.OPEN, true);
    job.steps().stream()
        .flatMap(step -> step.tasks().stream())
        .forEach(task -> task.observeRun(lastFormerRun));
    add(job);
  }

  private void restore(String id, WorkProgressMessage message, long nowMillis) {
    TrackedJob.Stage stage = JobRecords.stage(message.getOutcome());
    if (stage.isFinal()) {
      TrackedJob known = jobs.remove(id);
      if (known != null) {
        open.remove(known);
        undroppedJobs.add(id);
      }
      ended.add(
          new EndedJobs.Ended(
              id, stage, JobRecords.organisation(message.getOrganisation()), nowMillis));
      return;
    }
    for (WorkTaskMessage each : message.getTasksList()) {
      task(new TaskName(id, each.getStep(), each.getIndex()))
          .ifPresent(
              task -> {
                task.restore(
                    each.getDone(),
                    JobRecords.failedRuns(each),
                    each.getLastEndedRun(),
                    each.getCheckpoint());
                find(id).ifPresent(TrackedJob::markStarted);
              });
    }
  }

  /** Computes the completion objective of a job. */
  @FunctionalInterface
  interface Objectives {
    /** Returns the time from submission for full credit, in milliseconds. */
    long millis(JobSpec spec);
  }
}

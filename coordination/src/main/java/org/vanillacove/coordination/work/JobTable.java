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
import org.vanillacove.coordination.work.api.KeyedRecord;
import org.vanillacove.coordination.work.api.TaskName;
import org.vanillacove.protocol.generated.WorkProgressMessage;
import org.vanillacove.protocol.generated.WorkTaskMessage;
import org.vanillacove.state.work.JobSpec;

/** All jobs that are known, and those of them that are not finished. */
final class JobTable {
  /** Run numbers skipped for inherited jobs, whose newest runs may not be on record. */
  private static final int INHERITED_RUN_GAP = 8;

  /** Jobs by identifier. */
  private final Map<String, TrackedJob> jobs = new HashMap<>();

  /** Jobs that are not finished. */
  private final Set<TrackedJob> open = new HashSet<>();

  /** Workers that may hold runs of a former leader, by the records. */
  private final Set<String> recordedWorkers = new HashSet<>();

  /** Jobs that ended. */
  private final EndedJobs ended = new EndedJobs();

  Optional<TrackedJob> find(String id) {
    return Optional.ofNullable(jobs.get(id));
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

  Set<String> recordedWorkers() {
    return Collections.unmodifiableSet(recordedWorkers);
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

  /** Returns the jobs that ended. */
  EndedJobs ended() {
    return ended;
  }

  /** Notes that {@code job} has its durable end. */
  void finished(TrackedJob job, long nowMillis) {
    open.remove(job);
    ended.add(job.id(), job.stage(), nowMillis);
  }

  /** Forgets all of a job but its outcome. */
  void dropTasks(String id) {
    jobs.remove(id);
  }

  /**
   * Takes in the newest records of all keys.
   *
   * @param records the records
   * @param nowMillis monotonic time
   * @param wallMillis time of day, to tell how long ago jobs were accepted
   * @param objectives gives the objective of a job
   */
  void load(List<KeyedRecord> records, long nowMillis, long wallMillis, Objectives objectives) {
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
        // Clocks of hosts differ; a job is at least not younger than its record.
        long ageMillis = Math.max(0, wallMillis - JobRecords.acceptedWallMillis(each.value()));
        JobRecords.parseJob(each.value())
            .ifPresent(spec -> inherit(spec, nowMillis - ageMillis, objectives.millis(spec)));
      }
    }
    progress.forEach(
        (id, bytes) ->
            JobRecords.parseProgress(bytes).ifPresent(message -> restore(id, message, nowMillis)));
  }

  private void inherit(JobSpec spec, long nowMillis, long objectiveMillis) {
    TrackedJob job = new TrackedJob(spec, nowMillis, objectiveMillis, TrackedJob.Stage.OPEN, true);
    job.steps().stream()
        .flatMap(step -> step.tasks().stream())
        .forEach(task -> task.seenRun(INHERITED_RUN_GAP));
    add(job);
  }

  private void restore(String id, WorkProgressMessage message, long nowMillis) {
    TrackedJob.Stage stage = JobRecords.stage(message.getOutcome());
    if (stage.isFinal()) {
      TrackedJob known = jobs.remove(id);
      open.remove(known);
      ended.add(id, stage, nowMillis);
      return;
    }
    for (WorkTaskMessage each : message.getTasksList()) {
      task(new TaskName(id, each.getStep(), each.getIndex()))
          .ifPresent(
              task -> {
                task.restore(
                    each.getDone(),
                    each.getFailures(),
                    each.getLastEndedRun(),
                    each.getCheckpoint());
                task.seenRun(each.getLastEndedRun() + INHERITED_RUN_GAP);
                find(id).ifPresent(TrackedJob::started);
              });
    }
  }

  /** Gives the time from submission for full credit of a job. */
  @FunctionalInterface
  interface Objectives {
    /** Returns the objective in milliseconds. */
    long millis(JobSpec spec);
  }
}

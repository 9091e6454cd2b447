package org.vanillacove.coordination.work;

import java.util.Optional;
import org.vanillacove.coordination.work.api.TaskName;

/** A task and what is known of its runs. */
final class TrackedTask {
  /** Its name. */
  private final TaskName name;

  /** Whether a run has ended as done. */
  private boolean done;

  /** Runs that ended as failed. */
  private int failures;

  /** Highest run whose end as done or failed was counted. */
  private int lastCountedRun;

  /** Highest run known. */
  private int highestRun;

  /** Newest saved progress, empty for none. */
  private String checkpoint = "";

  /** Worker that holds the current run, if there is one. */
  private Optional<String> worker = Optional.empty();

  /** Number of the current run. */
  private int currentRun;

  /** Creates a task that has never run. */
  TrackedTask(TaskName name) {
    this.name = name;
  }

  /** Takes over what was recorded of the task. */
  void restore(boolean recordedDone, int recordedFailures, int run, String saved) {
    done = recordedDone;
    failures = recordedFailures;
    lastCountedRun = run;
    highestRun = Math.max(highestRun, run);
    checkpoint = saved;
  }

  TaskName name() {
    return name;
  }

  boolean isDone() {
    return done;
  }

  boolean isWaiting() {
    return !done && worker.isEmpty();
  }

  Optional<String> worker() {
    return worker;
  }

  int currentRun() {
    return currentRun;
  }

  int failures() {
    return failures;
  }

  int lastCountedRun() {
    return lastCountedRun;
  }

  int highestRun() {
    return highestRun;
  }

  String checkpoint() {
    return checkpoint;
  }

  void saved(String value) {
    if (!value.isEmpty()) {
      checkpoint = value;
    }
  }

  /** Notes that a run with this number exists somewhere. */
  void seenRun(int run) {
    highestRun = Math.max(highestRun, run);
  }

  /** Makes {@code run} on {@code onWorker} the current run. */
  void assign(String onWorker, int run) {
    worker = Optional.of(onWorker);
    currentRun = run;
    seenRun(run);
  }

  /** Forgets the current run if it is {@code run}; returns whether it was. */
  boolean release(int run) {
    if (worker.isEmpty() || currentRun != run) {
      return false;
    }
    worker = Optional.empty();
    return true;
  }

  void markDone(int run) {
    done = true;
    lastCountedRun = Math.max(lastCountedRun, run);
  }

  /** Counts a failed run once; returns whether it was new. */
  boolean countFailure(int run) {
    if (run <= lastCountedRun) {
      return false;
    }
    lastCountedRun = run;
    failures++;
    return true;
  }
}

package org.vanillacove.coordination.work;

import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.vanillacove.coordination.work.api.TaskName;

/** Progress of a task and its known runs. */
final class TrackedTask {
  /** Job, step and index of the task. */
  private final TaskName name;

  /** Whether a run completed the task. */
  private boolean done;

  /** Numbers of the failed runs; for a gang only the first task holds them. */
  private final SortedSet<Integer> failedRuns = new TreeSet<>();

  /** Highest run number whose completion or failure was counted. */
  private int lastCountedRun;

  /** Highest run number seen; the next run gets a higher one. */
  private int highestRun;

  /** Latest checkpoint, empty if none was reported. */
  private String checkpoint = "";

  /** Worker that holds the current run; empty while the task waits or is done. */
  private Optional<String> worker = Optional.empty();

  /** Run number of the latest assignment; valid while a worker is set. */
  private int currentRun;

  /** Numbers of runs that were found on workers, are being stopped and have not ended. */
  private final Set<Integer> unwantedRuns = new HashSet<>();

  /** Creates a task that has never run. */
  TrackedTask(TaskName name) {
    this.name = name;
  }

  /** Restores the recorded progress of the task. */
  void restore(boolean recordedDone, Collection<Integer> failures, int run, String saved) {
    done = recordedDone;
    failedRuns.addAll(failures);
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
    return !done && worker.isEmpty() && unwantedRuns.isEmpty();
  }

  Optional<String> worker() {
    return worker;
  }

  int currentRun() {
    return currentRun;
  }

  int failures() {
    return failedRuns.size();
  }

  SortedSet<Integer> failedRuns() {
    return Collections.unmodifiableSortedSet(failedRuns);
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

  void updateCheckpoint(String value) {
    if (!value.isEmpty()) {
      checkpoint = value;
    }
  }

  /** Records that this run number is in use. */
  void observeRun(int run) {
    highestRun = Math.max(highestRun, run);
  }

  /** Makes {@code run} on {@code onWorker} the current run. */
  void assign(String onWorker, int run) {
    worker = Optional.of(onWorker);
    currentRun = run;
    observeRun(run);
  }

  /** Records a run that is being stopped; the task does not start before that run has ended. */
  void addUnwantedRun(int run) {
    unwantedRuns.add(run);
  }

  /** Records that {@code run} has ended; returns whether it was the current run. */
  boolean release(int run) {
    unwantedRuns.remove(run);
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

  /**
   * Counts a failed run once; returns whether it was new. Workers report in any order, so a run may
   * be lower than one that was counted before.
   */
  boolean countFailure(int run) {
    lastCountedRun = Math.max(lastCountedRun, run);
    return failedRuns.add(run);
  }
}

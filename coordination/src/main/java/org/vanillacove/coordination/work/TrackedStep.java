package org.vanillacove.coordination.work;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.vanillacove.coordination.work.api.TaskName;
import org.vanillacove.state.work.StepSpec;

/** Progress of a step: its tasks and the adviser's answers for it. */
final class TrackedStep {
  /** Demands and constraints of the step. */
  private final StepSpec spec;

  /** Index of the step in the job. */
  private final int index;

  /** Progress of the tasks, by index. */
  private final List<TrackedTask> tasks = new ArrayList<>();

  /** Answers of the adviser: workers that the step may use. */
  private final StepAdvice advice = new StepAdvice();

  /** Monotonic time in milliseconds at which only free capacity was missing; negative before. */
  private long readySinceMillis = -1;

  /**
   * Monotonic time in milliseconds since which the step has waited for a near place; negative while
   * it does not.
   */
  private long nearWaitSinceMillis = -1;

  /** Whether all tasks are known to be done. */
  private boolean done;

  /** Latest run of the whole gang; empty before the first one and for other steps. */
  private Optional<GangRun> gangRun = Optional.empty();

  /** Creates a step of which no task has run. */
  TrackedStep(String job, int index, StepSpec spec) {
    this.spec = spec;
    this.index = index;
    for (int i = 0; i < spec.count(); i++) {
      tasks.add(new TrackedTask(new TaskName(job, index, i)));
    }
  }

  StepSpec spec() {
    return spec;
  }

  int index() {
    return index;
  }

  List<TrackedTask> tasks() {
    return tasks;
  }

  StepAdvice advice() {
    return advice;
  }

  boolean isDone() {
    // Done tasks stay done, so the answer is kept: each dispatch asks for all steps.
    if (!done) {
      done = true;
      for (TrackedTask task : tasks) {
        done &= task.isDone();
      }
    }
    return done;
  }

  /** Returns whether any task may start; see {@link #waiting()}. */
  boolean hasWaiting() {
    int count = waitingCount();
    return spec.gang() ? count == tasks.size() : count > 0;
  }

  /** Returns how many tasks wait, whether or not they may start. */
  int waitingCount() {
    int count = 0;
    if (!isDone()) {
      for (TrackedTask task : tasks) {
        count += task.isWaiting() ? 1 : 0;
      }
    }
    return count;
  }

  /** Returns the tasks that may start; for a gang none while any member still runs or is done. */
  List<TrackedTask> waiting() {
    List<TrackedTask> waiting = tasks.stream().filter(TrackedTask::isWaiting).toList();
    return spec.gang() && waiting.size() < tasks.size() ? List.of() : waiting;
  }

  /** Returns the run number for the next start of a whole gang. */
  int nextGangRun() {
    return tasks.stream().mapToInt(TrackedTask::highestRun).max().orElse(0) + 1;
  }

  /** Returns the task that counts the failures of {@code task}: the first task of a gang. */
  TrackedTask failureCounter(TrackedTask task) {
    return spec.gang() ? tasks.getFirst() : task;
  }

  /** Returns the latest checkpoint of any member of the gang, empty if there is none. */
  String gangCheckpoint() {
    return tasks.stream().map(TrackedTask::checkpoint).max(String::compareTo).orElse("");
  }

  Optional<GangRun> gangRun() {
    return gangRun;
  }

  void setGangRun(GangRun run) {
    gangRun = Optional.of(run);
  }

  /** Returns for how long the step has waited for a near place, in milliseconds. */
  long nearWaitMillis(long nowMillis) {
    return nearWaitSinceMillis < 0 ? 0 : nowMillis - nearWaitSinceMillis;
  }

  /** Notes that the step waits for a near place; returns whether that is new. */
  boolean markNearWait(long nowMillis) {
    boolean started = nearWaitSinceMillis < 0;
    if (started) {
      nearWaitSinceMillis = nowMillis;
    }
    return started;
  }

  /** Notes that the step starts, near or elsewhere, so that a later wait counts anew. */
  void endNearWait() {
    nearWaitSinceMillis = -1;
  }

  long readySinceMillis() {
    return readySinceMillis;
  }

  void markReady(long nowMillis) {
    if (readySinceMillis < 0) {
      readySinceMillis = nowMillis;
    }
  }
}

package org.vanillacove.coordination.work;

import java.util.ArrayList;
import java.util.List;
import org.vanillacove.coordination.work.api.TaskName;
import org.vanillacove.state.work.StepSpec;

/** A step of a job, its tasks and the adviser's answers for it. */
final class TrackedStep {
  /** What it asks for. */
  private final StepSpec spec;

  /** Its index in the job. */
  private final int index;

  /** Its tasks. */
  private final List<TrackedTask> tasks = new ArrayList<>();

  /** Which workers it may use. */
  private final StepAdvice advice = new StepAdvice();

  /** Monotonic time since which it has had nothing to wait for but room, in milliseconds. */
  private long readySinceMillis = -1;

  /** Creates a step none of whose tasks has run. */
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
    return tasks.stream().allMatch(TrackedTask::isDone);
  }

  /** Returns the tasks that could start; none of a gang while a member still runs. */
  List<TrackedTask> waiting() {
    List<TrackedTask> waiting = tasks.stream().filter(TrackedTask::isWaiting).toList();
    return spec.gang() && waiting.size() < tasks.size() ? List.of() : waiting;
  }

  /** Returns the number that a new run of a whole gang takes. */
  int nextGangRun() {
    return tasks.stream().mapToInt(TrackedTask::highestRun).max().orElse(0) + 1;
  }

  /** Returns the task that counts failures for {@code task}: the first one of a gang. */
  TrackedTask counter(TrackedTask task) {
    return spec.gang() ? tasks.getFirst() : task;
  }

  /** Returns the newest progress that any member of the gang saved, empty for none. */
  String gangCheckpoint() {
    return tasks.stream().map(TrackedTask::checkpoint).max(String::compareTo).orElse("");
  }

  long readySinceMillis() {
    return readySinceMillis;
  }

  void ready(long nowMillis) {
    if (readySinceMillis < 0) {
      readySinceMillis = nowMillis;
    }
  }
}

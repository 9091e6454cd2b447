package org.vanillacove.coordination.work;

import org.vanillacove.coordination.work.api.TaskName;
import org.vanillacove.state.work.StepSpec;

/** A current run on a fake worker. */
final class FakeRun {
  final TaskName task;
  final int number;
  final StepSpec step;
  long workedMillis;
  final long startedMillis;
  boolean gangComplete;

  FakeRun(TaskName task, int number, StepSpec step, long startedMillis) {
    this.task = task;
    this.number = number;
    this.step = step;
    this.startedMillis = startedMillis;
  }

  /** Percentage of the declared run time, which a longer run has used up before its end. */
  int percent() {
    return (int) Math.min(100, 100 * workedMillis / Math.max(1, step.estimateMillis()));
  }
}

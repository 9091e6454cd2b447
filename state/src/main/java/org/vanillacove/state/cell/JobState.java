package org.vanillacove.state.cell;

import java.util.Arrays;
import java.util.List;
import org.vanillacove.state.api.JobSpec;

/** State of a job as of the newest applied record; changed by {@link CellState} only. */
public final class JobState {
  /** Identifier of the job. */
  private final String jobId;

  /** The job as the caller declared it. */
  private final JobSpec spec;

  /** Wall time of acceptance in milliseconds since the Unix epoch. */
  private final long acceptedAtMillis;

  /** Offset of the record that accepted the job. */
  private final long acceptedOffset;

  /** Tasks by index. */
  private final TaskState[] tasks;

  /** Whether the job was cancelled. */
  private boolean cancelled;

  /** Number of settled tasks without a running attempt. */
  private int finished;

  JobState(String jobId, JobSpec spec, long acceptedAtMillis, long acceptedOffset) {
    this.jobId = jobId;
    this.spec = spec;
    this.acceptedAtMillis = acceptedAtMillis;
    this.acceptedOffset = acceptedOffset;
    this.tasks = new TaskState[spec.taskCount()];
    Arrays.fill(tasks, TaskState.NEW);
  }

  /** Returns the identifier of the job. */
  public String jobId() {
    return jobId;
  }

  /** Returns the job as the caller declared it. */
  public JobSpec spec() {
    return spec;
  }

  /** Returns the wall time of acceptance in milliseconds since the Unix epoch. */
  public long acceptedAtMillis() {
    return acceptedAtMillis;
  }

  /** Returns the offset of the record that accepted the job. */
  public long acceptedOffset() {
    return acceptedOffset;
  }

  /** Returns whether the job was cancelled. */
  public boolean isCancelled() {
    return cancelled;
  }

  /** Returns the tasks by index. */
  public List<TaskState> tasks() {
    return List.of(tasks);
  }

  /** Returns the task at {@code index}, from zero. */
  public TaskState task(int index) {
    return tasks[index];
  }

  /** Returns whether no task runs or will run again. */
  public boolean isSettled() {
    return finished == tasks.length;
  }

  void set(int index, TaskState task) {
    finished += finishedCount(task) - finishedCount(tasks[index]);
    tasks[index] = task;
  }

  void cancel() {
    cancelled = true;
    for (int i = 0; i < tasks.length; i++) {
      if (!tasks[i].settled() && !tasks[i].isRunning()) {
        set(i, tasks[i].cancelled());
      }
    }
  }

  private static int finishedCount(TaskState task) {
    return task.settled() && !task.isRunning() ? 1 : 0;
  }
}

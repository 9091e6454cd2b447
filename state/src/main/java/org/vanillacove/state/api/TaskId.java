package org.vanillacove.state.api;

/**
 * Identifies a task of a job.
 *
 * @param jobId job the task belongs to
 * @param index position in the job, from zero
 */
public record TaskId(String jobId, int index) {
  @Override
  public String toString() {
    return jobId + "/" + index;
  }
}

package org.vanillacove.state.api;

/**
 * Identifies a task of a job.
 *
 * @param jobId identifier of the job
 * @param index index of the task within the job, from zero
 */
public record TaskId(String jobId, int index) {
  @Override
  public String toString() {
    return jobId + "/" + index;
  }
}

package org.vanillacove.coordination.work.api;

/**
 * Identifies a task of a job.
 *
 * @param job identifier of the job
 * @param step index of the step
 * @param index index of the task in the step
 */
public record TaskName(String job, int step, int index) {}

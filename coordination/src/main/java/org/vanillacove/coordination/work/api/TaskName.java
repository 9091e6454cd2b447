package org.vanillacove.coordination.work.api;

/**
 * Names a task of a job.
 *
 * @param job identifier of the job
 * @param step index of the step
 * @param index index in the step
 */
public record TaskName(String job, int step, int index) {}

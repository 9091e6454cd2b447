package org.vanillacove.bench.policy;

import org.vanillacove.state.api.JobSpec;

/**
 * Job of a simulated stream, with the properties that the placer does not know.
 *
 * @param id job identifier
 * @param spec declared specification
 * @param atMillis time of submission in milliseconds
 * @param runMillis actual run time of each task in milliseconds, zero if open-ended
 * @param useFactor actual resource usage relative to the declared size
 */
record PlannedJob(String id, JobSpec spec, long atMillis, long runMillis, double useFactor) {}

package org.vanillacove.bench.policy;

import org.vanillacove.state.api.JobSpec;

/**
 * A job of a stream.
 *
 * @param id identifier
 * @param spec what is declared
 * @param atMillis time of submission
 * @param runMillis true run time of each task, zero if open-ended
 * @param useFactor true use in relation to the declared size
 */
record PlannedJob(String id, JobSpec spec, long atMillis, long runMillis, double useFactor) {}

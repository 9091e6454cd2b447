package org.vanillacove.coordination.work;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Jobs that ended, for as long as callers may ask for them. After a while many of them share one
 * record, so that a new leader reads few: the load this answers is a restart of all hosts, in which
 * the time to read the records is time without service.
 */
final class EndedJobs {
  /** Jobs in one bundle. */
  static final int BUNDLE_SIZE = 64;

  /** Time after its end in which a job keeps its own record, and its late runs are recognised. */
  static final long SETTLE_MILLIS = 2_000;

  /** Outcome of each job by identifier. */
  private final Map<String, TrackedJob.Stage> outcomes = new HashMap<>();

  /** Jobs with a record of their own, those that ended first at the head. */
  private final Deque<Ended> single = new ArrayDeque<>();

  /** Bundles, the oldest at the head. */
  private final Deque<Bundle> bundles = new ArrayDeque<>();

  /**
   * A job that ended.
   *
   * @param id its identifier
   * @param outcome its outcome
   * @param endMillis monotonic time at which its end was known here
   */
  record Ended(String id, TrackedJob.Stage outcome, long endMillis) {}

  /**
   * Jobs that share a record.
   *
   * @param jobs the jobs, in the order of their ends
   */
  record Bundle(List<Ended> jobs) {
    /** Returns the key of the record. */
    String key() {
      return JobRecords.ENDED + jobs.getFirst().id();
    }

    private long endMillis() {
      return jobs.getLast().endMillis();
    }
  }

  /** Returns the outcome of a job, or empty if no such job ended lately. */
  Optional<TrackedJob.Stage> outcome(String id) {
    return Optional.ofNullable(outcomes.get(id));
  }

  /** Adds a job that has a record of its own. */
  void add(String id, TrackedJob.Stage outcome, long nowMillis) {
    outcomes.put(id, outcome);
    single.addLast(new Ended(id, outcome, nowMillis));
  }

  /** Adds a bundle that was read. */
  void add(Bundle bundle) {
    bundle.jobs().forEach(job -> outcomes.put(job.id(), job.outcome()));
    bundles.addLast(bundle);
  }

  /** Returns a new bundle if enough jobs with records of their own have settled. */
  Optional<Bundle> bundle(long nowMillis) {
    List<Ended> settled =
        single.stream()
            .limit(BUNDLE_SIZE)
            .filter(job -> nowMillis - job.endMillis() > SETTLE_MILLIS)
            .toList();
    if (settled.size() < BUNDLE_SIZE) {
      return Optional.empty();
    }
    settled.forEach(job -> single.removeFirst());
    Bundle bundle = new Bundle(settled);
    bundles.addLast(bundle);
    return Optional.of(bundle);
  }

  /** Forgets the bundles whose jobs all ended before {@code endMillis}. */
  List<Bundle> forgetBundles(long endMillis) {
    List<Bundle> forgotten = new ArrayList<>();
    while (!bundles.isEmpty() && bundles.getFirst().endMillis() < endMillis) {
      Bundle bundle = bundles.removeFirst();
      bundle.jobs().forEach(job -> outcomes.remove(job.id()));
      forgotten.add(bundle);
    }
    return forgotten;
  }

  /** Forgets the jobs with records of their own that ended before {@code endMillis}. */
  List<Ended> forgetSingle(long endMillis) {
    List<Ended> forgotten = new ArrayList<>();
    while (!single.isEmpty() && single.getFirst().endMillis() < endMillis) {
      Ended job = single.removeFirst();
      outcomes.remove(job.id());
      forgotten.add(job);
    }
    return forgotten;
  }
}

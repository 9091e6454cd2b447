package org.vanillacove.coordination.work;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Outcomes of ended jobs, kept for as long as callers may query them. After a while ended jobs are
 * bundled into shared records, so that a new leader has few records to read: after a restart of all
 * hosts there is no service until the records are read.
 */
final class EndedJobs {
  /** Number of jobs in one bundle. */
  static final int BUNDLE_SIZE = 64;

  /** Time after its end for which a job keeps its own record and its late runs are recognised. */
  static final long SETTLE_MILLIS = 2_000;

  /** Outcomes by job identifier, of unbundled and bundled jobs. */
  private final Map<String, TrackedJob.Stage> outcomes = new HashMap<>();

  /** Organisations by job identifier, of those jobs that have one. */
  private final Map<String, String> organisations = new HashMap<>();

  /** Jobs with a record of their own, in the order of their ends. */
  private final Deque<Ended> unbundled = new ArrayDeque<>();

  /** Bundles, the oldest first. */
  private final Deque<Bundle> bundles = new ArrayDeque<>();

  /**
   * A job that ended.
   *
   * @param id identifier of the job
   * @param outcome final stage of the job
   * @param organisation organisation that submitted the job, empty if it has none
   * @param endMillis monotonic time at which this host learnt of the end, in milliseconds
   */
  record Ended(String id, TrackedJob.Stage outcome, Optional<String> organisation, long endMillis) {
    /** Creates a job that belongs to no organisation. */
    Ended(String id, TrackedJob.Stage outcome, long endMillis) {
      this(id, outcome, Optional.empty(), endMillis);
    }
  }

  /**
   * Ended jobs that share one record.
   *
   * @param jobs jobs in the order of their ends, never empty
   */
  record Bundle(List<Ended> jobs) {
    /** Returns the key of the bundle's record, which contains the first job's identifier. */
    String key() {
      return JobRecords.ENDED + jobs.getFirst().id();
    }

    private long endMillis() {
      return jobs.getLast().endMillis();
    }
  }

  /** Returns the outcome of a job, or empty if it hasn't ended or its retention time is over. */
  Optional<TrackedJob.Stage> outcome(String id) {
    return Optional.ofNullable(outcomes.get(id));
  }

  /** Returns the organisation of an ended job, empty if it has none or is not known. */
  Optional<String> organisation(String id) {
    return Optional.ofNullable(organisations.get(id));
  }

  /** Adds a job without an organisation that has a record of its own. */
  void add(String id, TrackedJob.Stage outcome, long nowMillis) {
    add(new Ended(id, outcome, nowMillis));
  }

  /** Adds a job that has a record of its own. */
  void add(Ended job) {
    remember(job);
    unbundled.addLast(job);
  }

  /** Adds a bundle that was read from the store. */
  void add(Bundle bundle) {
    bundle.jobs().forEach(this::remember);
    bundles.addLast(bundle);
  }

  /** Returns a new bundle if enough unbundled jobs ended more than the settle time ago. */
  Optional<Bundle> bundle(long nowMillis) {
    List<Ended> settled =
        unbundled.stream()
            .limit(BUNDLE_SIZE)
            .filter(job -> nowMillis - job.endMillis() > SETTLE_MILLIS)
            .toList();
    if (settled.size() < BUNDLE_SIZE) {
      return Optional.empty();
    }
    settled.forEach(job -> unbundled.removeFirst());
    Bundle bundle = new Bundle(settled);
    bundles.addLast(bundle);
    return Optional.of(bundle);
  }

  /** Removes and returns the bundles whose jobs all ended before {@code endMillis}. */
  List<Bundle> forgetBundles(long endMillis) {
    List<Bundle> forgotten = new ArrayList<>();
    while (!bundles.isEmpty() && bundles.getFirst().endMillis() < endMillis) {
      Bundle bundle = bundles.removeFirst();
      bundle.jobs().forEach(this::forget);
      forgotten.add(bundle);
    }
    return forgotten;
  }

  /** Removes and returns the unbundled jobs that ended before {@code endMillis}. */
  List<Ended> forgetUnbundled(long endMillis) {
    List<Ended> forgotten = new ArrayList<>();
    while (!unbundled.isEmpty() && unbundled.getFirst().endMillis() < endMillis) {
      Ended job = unbundled.removeFirst();
      forget(job);
      forgotten.add(job);
    }
    return forgotten;
  }

  private void remember(Ended job) {
    outcomes.put(job.id(), job.outcome());
    job.organisation().ifPresent(name -> organisations.put(job.id(), name));
  }

  private void forget(Ended job) {
    outcomes.remove(job.id());
    organisations.remove(job.id());
  }
}

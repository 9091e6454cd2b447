package org.vanillacove.state.placement;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/** Waiting jobs of one team, priority class and shape. */
final class Lane {
  /** Earliest rank first, then order of arrival. */
  private static final Comparator<Job> ORDER =
      Comparator.comparingLong(Job::rankMillis).thenComparingLong(Job::sequence);

  /** Queue of the team. */
  private final TeamQueue queue;

  /** Shape of the jobs. */
  private final Shape shape;

  /** Jobs; those that no longer wait are dropped when they come to the front. */
  private final PriorityQueue<Job> jobs = new PriorityQueue<>(ORDER);

  /** Whether the quota of the team has no room for a task of this shape. */
  private boolean overQuota;

  Lane(TeamQueue queue, Shape shape) {
    this.queue = queue;
    this.shape = shape;
  }

  TeamQueue queue() {
    return queue;
  }

  Shape shape() {
    return shape;
  }

  boolean isOverQuota() {
    return overQuota;
  }

  void setOverQuota(boolean overQuota) {
    this.overQuota = overQuota;
  }

  void add(Job job) {
    job.enterLane(this);
    jobs.add(job);
  }

  /** Returns the first job that waits here, empty if none does. */
  Optional<Job> first() {
    for (Job job = jobs.peek(); job != null; job = jobs.peek()) {
      if (job.isIn(this) && job.hasPending()) {
        return Optional.of(job);
      }
      jobs.poll();
      if (job.isIn(this)) {
        job.leaveLane();
      }
    }
    return Optional.empty();
  }

  /** Takes out the first job. */
  void removeFirst() {
    Job job = jobs.poll();
    if (job != null && job.isIn(this)) {
      job.leaveLane();
    }
  }

  int size() {
    return jobs.size();
  }
}

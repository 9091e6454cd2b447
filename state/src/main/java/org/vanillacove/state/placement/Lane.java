package org.vanillacove.state.placement;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/** Sub-queue with the pending jobs of one team, priority class and shape. */
final class Lane {
  /** Orders by rank, then by sequence number. */
  private static final Comparator<Job> ORDER =
      Comparator.comparingLong(Job::rankMillis).thenComparingLong(Job::sequence);

  /** Queue of the team that this lane is part of. */
  private final TeamQueue queue;

  /** Shape shared by all jobs in the lane. */
  private final Shape shape;

  /** Queued jobs; those no longer pending are removed only once they reach the head. */
  private final PriorityQueue<Job> jobs = new PriorityQueue<>(ORDER);

  /** Whether a task of this shape would exceed the quota of the team. */
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

  /** Returns the first pending job, empty if there is none. */
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

  /** Removes the first job. */
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

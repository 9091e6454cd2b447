package org.vanillacove.coordination.scheduling;

import org.vanillacove.coordination.session.PlanStamp;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.WorkerSpec;

/** What the leader knows of its contact with a worker; changed by the scheduler only. */
final class WorkerWatch {
  /** The worker. */
  private WorkerSpec spec;

  /** Whether its inventory was read in this epoch and it is not suspended. */
  private boolean usable;

  /** Monotonic time of the newest fence that was answered, in milliseconds. */
  private long fencedAtMillis = Long.MIN_VALUE;

  /** Whether a fence is under way. */
  private boolean probing;

  /** Monotonic time since which nobody is told to renew it, in milliseconds. */
  private long suspendedAtMillis = Long.MAX_VALUE;

  /** First plan that suspends it. */
  private PlanStamp suspendedIn = PlanStamp.NONE;

  /** Monotonic time at which its region had confirmed that plan, in milliseconds. */
  private long confirmedAtMillis = Long.MAX_VALUE;

  /** Whether tasks that move have ended for certain. */
  private boolean moveLapsed;

  /** Whether all tasks have ended for certain. */
  private boolean allLapsed;

  /** Whether the platform listed it last time. */
  private boolean listed = true;

  WorkerWatch(WorkerSpec spec) {
    this.spec = spec;
  }

  WorkerSpec spec() {
    return spec;
  }

  void setSpec(WorkerSpec newSpec) {
    spec = newSpec;
  }

  boolean isUsable() {
    return usable;
  }

  boolean isSuspended() {
    return !usable;
  }

  long fencedAtMillis() {
    return fencedAtMillis;
  }

  boolean isProbing() {
    return probing;
  }

  void setProbing(boolean nowProbing) {
    probing = nowProbing;
  }

  boolean isListed() {
    return listed;
  }

  void setListed(boolean nowListed) {
    listed = nowListed;
  }

  long suspendedAtMillis() {
    return suspendedAtMillis;
  }

  PlanStamp suspendedIn() {
    return suspendedIn;
  }

  long confirmedAtMillis() {
    return confirmedAtMillis;
  }

  boolean isAllLapsed() {
    return allLapsed;
  }

  /** Returns whether it could run tasks of a class of which nothing is known. */
  boolean isUnknownFor(LossPolicy loss) {
    return !usable && !allLapsed && !(loss == LossPolicy.MOVE && moveLapsed);
  }

  void fenced(long sentAtMillis) {
    usable = true;
    fencedAtMillis = sentAtMillis;
    suspendedAtMillis = Long.MAX_VALUE;
    confirmedAtMillis = Long.MAX_VALUE;
    moveLapsed = false;
    allLapsed = false;
  }

  void suspend() {
    usable = false;
    suspendedAtMillis = Long.MAX_VALUE;
    confirmedAtMillis = Long.MAX_VALUE;
    moveLapsed = false;
    allLapsed = false;
  }

  /** Takes note of the first plan that tells nobody to renew it. */
  void published(PlanStamp stamp, long nowMillis) {
    if (!usable && suspendedAtMillis == Long.MAX_VALUE) {
      suspendedAtMillis = nowMillis;
      suspendedIn = stamp;
    }
  }

  void confirmed(long nowMillis) {
    if (confirmedAtMillis == Long.MAX_VALUE) {
      confirmedAtMillis = nowMillis;
    }
  }

  void lapsed(LossPolicy loss) {
    moveLapsed = true;
    allLapsed |= loss == LossPolicy.KEEP;
  }
}

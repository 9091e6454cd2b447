package org.vanillacove.coordination.scheduling;

import org.vanillacove.coordination.session.PlanStamp;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.WorkerSpec;

/** State of the leader's contact with one worker; modified by the scheduler only. */
final class MonitoredWorker {
  /** Specification of the worker, updated when it joins again. */
  private WorkerSpec spec;

  /** Whether the worker was fenced in this epoch and is not suspended. */
  private boolean usable;

  /** Monotonic time at which the newest successful fence was sent, in milliseconds. */
  private long fencedAtMillis = Long.MIN_VALUE;

  /** Whether a fence command awaits its reply. */
  private boolean fencePending;

  /**
   * Monotonic time of the first plan that suspends the worker, in milliseconds; maximum if none.
   */
  private long suspendedAtMillis = Long.MAX_VALUE;

  /** First plan that suspends the worker. */
  private PlanStamp suspendingPlan = PlanStamp.NONE;

  /** Monotonic time at which its region confirmed that plan, in milliseconds; maximum before. */
  private long planConfirmedAtMillis = Long.MAX_VALUE;

  /** Whether the leases of tasks that move on loss have certainly expired. */
  private boolean moveLeasesExpired;

  /** Whether the leases of all tasks have certainly expired. */
  private boolean allLeasesExpired;

  /** Whether the newest worker list of the platform contained the worker. */
  private boolean listed = true;

  MonitoredWorker(WorkerSpec spec) {
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

  boolean isFencePending() {
    return fencePending;
  }

  void setFencePending(boolean nowProbing) {
    fencePending = nowProbing;
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

  PlanStamp suspendingPlan() {
    return suspendingPlan;
  }

  long planConfirmedAtMillis() {
    return planConfirmedAtMillis;
  }

  boolean haveAllLeasesExpired() {
    return allLeasesExpired;
  }

  /** Returns whether tasks of a loss policy could still run on it while it is out of contact. */
  boolean mayStillRun(LossPolicy loss) {
    return !usable && !allLeasesExpired && !(loss == LossPolicy.MOVE && moveLeasesExpired);
  }

  void markFenced(long sentAtMillis) {
    usable = true;
    fencedAtMillis = sentAtMillis;
    suspendedAtMillis = Long.MAX_VALUE;
    planConfirmedAtMillis = Long.MAX_VALUE;
    moveLeasesExpired = false;
    allLeasesExpired = false;
  }

  void suspend() {
    usable = false;
    suspendedAtMillis = Long.MAX_VALUE;
    planConfirmedAtMillis = Long.MAX_VALUE;
    moveLeasesExpired = false;
    allLeasesExpired = false;
  }

  /** Stores the first plan that suspends the worker; later plans are ignored. */
  void markPlanPublished(PlanStamp stamp, long nowMillis) {
    if (!usable && suspendedAtMillis == Long.MAX_VALUE) {
      suspendedAtMillis = nowMillis;
      suspendingPlan = stamp;
    }
  }

  void markPlanConfirmed(long nowMillis) {
    if (planConfirmedAtMillis == Long.MAX_VALUE) {
      planConfirmedAtMillis = nowMillis;
    }
  }

  void markLeasesExpired(LossPolicy loss) {
    moveLeasesExpired = true;
    allLeasesExpired |= loss == LossPolicy.KEEP;
  }
}

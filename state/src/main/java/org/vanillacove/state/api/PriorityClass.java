package org.vanillacove.state.api;

/** Priority of a job, most urgent first. */
public enum PriorityClass {
  /** Starts within seconds and may preempt other tasks. */
  URGENT,

  /** Starts in the order of fair shares. */
  NORMAL,

  /** Uses the remaining capacity and is preempted first. */
  LOW
}

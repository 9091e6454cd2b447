package org.vanillacove.state.api;

/** Priority of a job, most urgent first. */
public enum PriorityClass {
  /** Starts within seconds and may preempt. */
  URGENT,

  /** Starts by fair share. */
  NORMAL,

  /** Uses what is left and is preempted first. */
  LOW
}

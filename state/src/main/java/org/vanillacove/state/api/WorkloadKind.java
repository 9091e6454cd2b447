package org.vanillacove.state.api;

/** The kinds of workload, each placed under its own policy. */
public enum WorkloadKind {
  /** Long-running replicas that are replaced when lost. */
  SERVICE,

  /** Independent tasks that run to completion. */
  BATCH,

  /** Tasks that must all start together. */
  GANG
}

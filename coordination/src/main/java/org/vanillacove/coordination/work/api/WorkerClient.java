package org.vanillacove.coordination.work.api;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/** Sends commands to workers. Each callback is called once, on the scheduling thread. */
public interface WorkerClient {
  /** Returns a fence that is higher than all that were returned in the leader's term. */
  int nextFence();

  /**
   * Renews the lease of all runs of a worker, acknowledges ends and lists its runs.
   *
   * @param worker worker to call, and the fence of the call
   * @param call lease end, acknowledgement and wait time
   * @param done called with the outcome
   */
  void renew(Recipient worker, Renewal call, Consumer<RenewalOutcome> done);

  /** Starts a run; repeating the command for the same run has no effect. */
  void start(Recipient worker, StartCommand command, Consumer<CommandOutcome> done);

  /** Stops a run; if it hasn't started yet, the worker refuses its start command later. */
  void stop(Recipient worker, TaskName task, int run, Consumer<CommandOutcome> done);

  /**
   * Worker that a call is meant for. The identifier of a worker doesn't tell its incarnations
   * apart; the fence does, once the present incarnation has executed a call with it.
   *
   * @param entry directory entry of the worker
   * @param fence number within the leader's term; the worker rejects calls with a lower one than it
   *     has seen
   */
  record Recipient(WorkerEntry entry, int fence) {}

  /**
   * Parameters of a renewal.
   *
   * @param leaseEndMillis new end of the lease on the worker's clock; empty to renew nothing
   * @param acknowledgedEnd number of an end; the worker drops ends up to this number
   * @param waitMillis time for which the worker may delay its response until a run ends
   */
  record Renewal(OptionalLong leaseEndMillis, long acknowledgedEnd, long waitMillis) {}

  /**
   * Command to start a run.
   *
   * @param task task to run
   * @param run run number
   * @param payload opaque text of the job, passed to the task
   * @param leaseEndMillis end of the lease on the worker's clock
   * @param checkpoint checkpoint to resume from, empty for none
   * @param ticket permission of the adviser, empty if the queue needs none
   */
  record StartCommand(
      TaskName task,
      int run,
      String payload,
      long leaseEndMillis,
      String checkpoint,
      Optional<String> ticket) {}

  /**
   * Report of a worker.
   *
   * @param clockMillis monotonic clock of the worker in milliseconds
   * @param incarnation start of the worker's incarnation in milliseconds since the Unix epoch
   * @param running all current runs
   * @param ended ends that weren't acknowledged, in the order of their numbers
   * @param complete whether all of these ends are listed; otherwise a run that isn't listed may
   *     have ended
   */
  record Report(
      long clockMillis,
      long incarnation,
      List<CurrentRun> running,
      List<EndedRun> ended,
      boolean complete) {}

  /**
   * A current run in a report.
   *
   * @param task task of the run
   * @param run run number
   * @param checkpoint latest checkpoint, empty for none
   * @param percent percentage of its work that is done
   */
  record CurrentRun(TaskName task, int run, String checkpoint, int percent) {}

  /**
   * The end of a run in a report.
   *
   * @param number sequence number of this end in the worker's incarnation
   * @param task task of the run
   * @param run run number
   * @param cause cause of the end
   * @param checkpoint latest checkpoint, empty for none
   */
  record EndedRun(long number, TaskName task, int run, EndCause cause, String checkpoint) {}

  /** Cause of the end of a run. */
  enum EndCause {
    /** Its work is complete. */
    DONE,
    /** It failed; this counts as an attempt. */
    FAILED,
    /** It was stopped by a command. */
    STOPPED,
    /** Its lease expired. */
    LAPSED,
    /** Another member of its gang ended without completing its work. */
    BROKEN,
    /** The other members of its gang didn't start in time. */
    ALONE
  }

  /** Outcome of a renewal. */
  sealed interface RenewalOutcome {
    /**
     * The worker sent a report.
     *
     * @param report report of the worker
     */
    record Reported(Report report) implements RenewalOutcome {}

    /** The worker has seen a higher fence or follows a newer leader; it did nothing. */
    record Fenced() implements RenewalOutcome {}

    /** There was no usable response; the lease may have been renewed. */
    record NoResponse() implements RenewalOutcome {}
  }

  /** Outcome of a command, as far as it is known. */
  sealed interface CommandOutcome {
    /**
     * The worker executed the command.
     *
     * @param clockMillis monotonic clock of the worker in milliseconds
     */
    record Done(long clockMillis) implements CommandOutcome {}

    /**
     * The worker refused the command and won't execute it.
     *
     * @param refusal reason of the refusal
     */
    record Refused(Refusal refusal) implements CommandOutcome {}

    /** The command may have been executed or may still be. */
    record Unknown() implements CommandOutcome {}
  }

  /** Reason why a worker refused a command. */
  enum Refusal {
    /** The worker has seen a higher fence or follows a newer leader. */
    FENCED,
    /** The run number isn't higher than one known to the worker. */
    OLD_RUN,
    /** The lease end in the command had already passed. */
    LATE,
    /** The worker has too little free capacity. */
    NO_ROOM,
    /** The ticket is missing, expired, or issued for another incarnation of the worker. */
    TICKET,
    /** The worker is unhealthy or busy. */
    UNHEALTHY,
    /** Another incarnation of the worker answered. */
    OTHER_INSTANCE,
    /** The worker considers the command malformed. */
    MALFORMED,
    /** No connection to the worker could be opened. */
    UNREACHABLE
  }
}

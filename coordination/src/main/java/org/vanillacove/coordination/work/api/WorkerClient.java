package org.vanillacove.coordination.work.api;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/** Orders to workers. Callbacks come once each, on the scheduling thread. */
public interface WorkerClient {
  /**
   * Renews the lease of all runs of a worker, acknowledges ends and lists its runs.
   *
   * @param worker the worker
   * @param call what to say
   * @param done what came of it
   */
  void renew(WorkerEntry worker, Renewal call, Consumer<RenewalOutcome> done);

  /** Starts a run; starting the same run again has no effect. */
  void start(WorkerEntry worker, StartOrder order, Consumer<OrderOutcome> done);

  /** Stops a run; a run that is not there yet will be refused when it comes. */
  void stop(WorkerEntry worker, TaskName task, int run, Consumer<OrderOutcome> done);

  /**
   * A renewal.
   *
   * @param leaseEndMillis end of the lease on the worker's clock; empty renews nothing
   * @param acknowledgedEnd ends up to this number are forgotten by the worker
   * @param waitMillis time for which the answer may wait for an end
   */
  record Renewal(OptionalLong leaseEndMillis, long acknowledgedEnd, long waitMillis) {}

  /**
   * A start.
   *
   * @param task the task
   * @param run number of the run
   * @param payload opaque text of the job
   * @param leaseEndMillis end of the lease on the worker's clock
   * @param checkpoint progress to resume from, empty for none
   * @param ticket permission of the adviser
   */
  record StartOrder(
      TaskName task,
      int run,
      String payload,
      long leaseEndMillis,
      String checkpoint,
      Optional<String> ticket) {}

  /**
   * What a worker reports.
   *
   * @param clockMillis the worker's steady clock
   * @param born start of the worker's life in milliseconds since the Unix epoch
   * @param running all its runs
   * @param ended ends that were not acknowledged, in order
   */
  record Report(long clockMillis, long born, List<Running> running, List<Ended> ended) {}

  /**
   * A run that goes on.
   *
   * @param task the task
   * @param run number of the run
   * @param checkpoint newest saved progress, empty for none
   * @param percent share of its work that is done
   */
  record Running(TaskName task, int run, String checkpoint, int percent) {}

  /**
   * A run that ended.
   *
   * @param number number of this end in the worker's life
   * @param task the task
   * @param run number of the run
   * @param cause how it ended
   * @param checkpoint newest saved progress, empty for none
   */
  record Ended(long number, TaskName task, int run, EndCause cause, String checkpoint) {}

  /** How a run ended. */
  enum EndCause {
    /** Its work is complete. */
    DONE,
    /** It failed; counts as an attempt. */
    FAILED,
    /** It was stopped on our order. */
    STOPPED,
    /** Its lease ended. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** The other members of its gang did not come. */
    ALONE
  }

  /** What came of a renewal. */
  sealed interface RenewalOutcome {
    /**
     * The worker reported.
     *
     * @param report its report
     */
    record Reported(Report report) implements RenewalOutcome {}

    /** The worker obeys a newer leader. */
    record Fenced() implements RenewalOutcome {}

    /** No usable answer; the lease may have been renewed. */
    record NoAnswer() implements RenewalOutcome {}
  }

  /** What is known of an order. */
  sealed interface OrderOutcome {
    /**
     * The worker carried it out.
     *
     * @param clockMillis the worker's steady clock
     */
    record Done(long clockMillis) implements OrderOutcome {}

    /**
     * The worker refused it and will not carry it out.
     *
     * @param refusal why
     */
    record Refused(Refusal refusal) implements OrderOutcome {}

    /** The order may have been carried out, or may be later. */
    record Unknown() implements OrderOutcome {}
  }

  /** Why a worker refuses an order. */
  enum Refusal {
    /** A newer leader has given orders. */
    FENCED,
    /** The run number is not newer than a run known there. */
    OLD_RUN,
    /** The lease had already ended. */
    LATE,
    /** Not enough capacity. */
    NO_ROOM,
    /** The ticket is missing, of another life, or no longer valid. */
    TICKET,
    /** The worker is unhealthy or busy. */
    UNHEALTHY,
    /** Another life of the worker answered. */
    OTHER_INSTANCE,
    /** The worker found the order malformed. */
    MALFORMED,
    /** No connection to the worker could be opened. */
    UNREACHABLE
  }
}

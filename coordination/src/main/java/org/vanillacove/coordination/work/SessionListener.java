package org.vanillacove.coordination.work;

import java.util.Optional;
import org.vanillacove.coordination.work.api.TaskName;
import org.vanillacove.coordination.work.api.WorkerClient.CurrentRun;
import org.vanillacove.coordination.work.api.WorkerClient.EndedRun;
import org.vanillacove.coordination.work.api.WorkerClient.Refusal;
import org.vanillacove.state.api.Resources;

/** Receives the events of a worker session and makes the decisions that it needs from the cell. */
interface SessionListener {
  /**
   * Decision on a reported run that the session didn't start.
   *
   * @param demand resources that the run uses; an upper bound if they aren't known
   * @param stallTimeoutMillis time without progress after which it counts as stalled
   * @param wanted whether the run may continue; otherwise it is stopped
   */
  record FoundRun(Resources demand, long stallTimeoutMillis, boolean wanted) {}

  /** Returns whether leases may be renewed and commands sent. */
  boolean mayCommand();

  /** Returns whether the durable record says that the worker may hold runs. */
  boolean isRecorded(WorkerSession worker);

  /** Called for a reported run that this session didn't start; decides whether it continues. */
  FoundRun runFound(WorkerSession worker, CurrentRun running);

  /** Called when a start is confirmed by a response or a report. */
  void started(WorkerSession worker, TaskRun run);

  /** Called when a start was rejected and certainly won't be executed. */
  void refused(WorkerSession worker, TaskRun run, Refusal refusal);

  /** Called when a start of unknown outcome is given up, so that the run is stopped. */
  void startGivenUp(WorkerSession worker, TaskRun run);

  /** Called when a run is first seen to make progress. */
  void progressed(TaskRun run);

  /**
   * Called when the lease has lapsed; it isn't renewed until the worker is recorded again.
   *
   * @param basis what the end of the lease was computed from
   */
  void leaseLapsed(WorkerSession worker, LeaseBound.Basis basis);

  /** Called when a worker without a durable record reports. */
  void unrecordedWorkerReported(WorkerSession worker);

  /** Called with the latest checkpoint of a run, empty for none. */
  void checkpointSaved(TaskName task, String checkpoint);

  /** Returns whether a run without progress for its stall timeout is to be stopped. */
  boolean isStalled(WorkerSession worker, TaskRun run);

  /** Called once for each reported end of a run, with the run unless it is unknown. */
  void ended(WorkerSession worker, EndedRun end, Optional<TaskRun> run);

  /** Called when a run is gone without a reported end. */
  void lost(WorkerSession worker, TaskRun run);

  /** Runs {@code action} once the effects of all events so far are durable. */
  void whenDurable(Runnable action);

  /** Called when the worker rejects a call because it follows a newer leader. */
  void fenced();

  /** Called when the free capacity or usability of the worker changed. */
  void capacityChanged();
}

package org.vanillacove.state.api;

import com.google.common.io.ByteSource;
import java.util.Optional;

/** A change of the cell state, written as one record of the stream. */
public sealed interface CellRecord {
  /**
   * A host claims leadership with the epoch of the envelope.
   *
   * @param host identifier of the claiming host
   */
  record LeaderClaimed(String host) implements CellRecord {}

  /**
   * A job was accepted.
   *
   * @param jobId identifier of the job
   * @param spec the job as the caller declared it
   * @param acceptedAtMillis wall time of acceptance in milliseconds since the Unix epoch
   */
  record JobAccepted(String jobId, JobSpec spec, long acceptedAtMillis) implements CellRecord {}

  /**
   * A job was cancelled with all its tasks.
   *
   * @param jobId identifier of the job
   * @param reason reason given by the operator
   */
  record JobCancelled(String jobId, String reason) implements CellRecord {}

  /**
   * An attempt of a task starts on a worker.
   *
   * @param task the task
   * @param attempt number of the attempt, from one
   * @param workerId worker whose capacity is committed to the attempt
   * @param mode whether the record or the start command came first
   */
  record TaskStarted(TaskId task, int attempt, String workerId, StartMode mode)
      implements CellRecord {}

  /**
   * An attempt of a task ended.
   *
   * @param task the task
   * @param attempt number of the attempt
   * @param outcome how it ended
   */
  record TaskEnded(TaskId task, int attempt, TaskOutcome outcome) implements CellRecord {}

  /**
   * A worker joined or its specification changed.
   *
   * @param worker the worker with its current capacity and labels
   */
  record WorkerJoined(WorkerSpec worker) implements CellRecord {}

  /**
   * A worker changed its status.
   *
   * @param workerId the worker
   * @param status its new status
   * @param reason why the status changed
   */
  record WorkerChanged(String workerId, WorkerStatus status, String reason) implements CellRecord {}

  /**
   * An entry host joined the agreed membership.
   *
   * @param host the host that joined
   */
  record HostJoined(HostSpec host) implements CellRecord {}

  /**
   * An entry host left the agreed membership.
   *
   * @param hostId the host that left
   * @param reason why it left
   */
  record HostLeft(String hostId, String reason) implements CellRecord {}

  /**
   * A new configuration document; it is rejected unless {@code basedOn} is the version in force.
   *
   * @param basedOn version the change was based on
   * @param document the whole new document as JSON
   * @param author operator who made the change
   * @param reason why the change was made
   */
  record ConfigurationChanged(long basedOn, String document, String author, String reason)
      implements CellRecord {}

  /**
   * A region or zone was declared lost by an operator.
   *
   * @param region the region
   * @param zone the zone, empty for the whole region
   * @param reason reason given by the operator
   */
  record DomainDeclaredLost(String region, Optional<String> zone, String reason)
      implements CellRecord {}

  /**
   * Digest of the state, by which hosts detect that their states differ.
   *
   * @param throughOffset last offset that the digest covers
   * @param digest digest of the state after that offset
   */
  record StateDigest(long throughOffset, long digest) implements CellRecord {}

  /**
   * A part of a snapshot.
   *
   * @param snapshotId identifier shared by all parts
   * @param throughOffset last offset that the snapshot covers
   * @param index position of this part, from zero
   * @param count number of parts
   * @param content bytes of this part
   */
  record SnapshotChunk(
      String snapshotId, long throughOffset, int index, int count, ByteSource content)
      implements CellRecord {}
}

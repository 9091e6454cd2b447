package org.vanillacove.protocol.record;

import com.google.common.io.ByteSource;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.vanillacove.protocol.generated.ConfigurationChangedMessage;
import org.vanillacove.protocol.generated.DomainLostMessage;
import org.vanillacove.protocol.generated.HostLeftMessage;
import org.vanillacove.protocol.generated.JobAcceptedMessage;
import org.vanillacove.protocol.generated.JobCancelledMessage;
import org.vanillacove.protocol.generated.RecordMessage;
import org.vanillacove.protocol.generated.SnapshotChunkMessage;
import org.vanillacove.protocol.generated.StateDigestMessage;
import org.vanillacove.protocol.generated.TaskEndedMessage;
import org.vanillacove.protocol.generated.TaskStartedMessage;
import org.vanillacove.protocol.generated.WorkerChangedMessage;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.api.StartMode;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerStatus;

/** Converts records to their protobuf encoding in the log and back. */
public final class RecordCodec {
  private RecordCodec() {}

  /** Returns the encoding of a record. */
  public static ByteString encode(RecordEnvelope envelope) {
    String author = envelope.author();
    String proposal = envelope.proposalId();
    RecordMessage.Builder builder =
        RecordMessage.newBuilder()
            .setProposal(
                proposal.startsWith(author) ? proposal.substring(author.length()) : proposal)
            .setEpoch(envelope.epoch())
            .setAuthor(author);
    setRecord(builder, envelope.record());
    return builder.build().toByteString();
  }

  /** Decodes a record, empty if it is malformed or of a type that this version does not know. */
  public static Optional<RecordEnvelope> decode(ByteString bytes) {
    try {
      RecordMessage message = RecordMessage.parseFrom(bytes);
      return decodeRecord(message)
          .map(
              record ->
                  new RecordEnvelope(
                      message.getAuthor() + message.getProposal(),
                      message.getEpoch(),
                      message.getAuthor(),
                      record));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static void setRecord(RecordMessage.Builder builder, CellRecord record) {
    switch (record) {
      case CellRecord.LeaderClaimed claimed -> builder.setLeaderClaimed(claimed.host());
      case CellRecord.JobAccepted accepted ->
          builder.setJobAccepted(
              JobAcceptedMessage.newBuilder()
                  .setJobId(accepted.jobId())
                  .setSpec(SpecCodec.toMessage(accepted.spec()))
                  .setAcceptedAtMillis(accepted.acceptedAtMillis()));
      case CellRecord.JobCancelled cancelled ->
          builder.setJobCancelled(
              JobCancelledMessage.newBuilder()
                  .setJobId(cancelled.jobId())
                  .setReason(cancelled.reason()));
      case CellRecord.TaskStarted started -> builder.setTaskStarted(toMessage(started));
      case CellRecord.TaskEnded ended -> builder.setTaskEnded(toMessage(ended));
      case CellRecord.WorkerJoined joined ->
          builder.setWorkerJoined(SpecCodec.toMessage(joined.worker()));
      case CellRecord.WorkerChanged changed ->
          builder.setWorkerChanged(
              WorkerChangedMessage.newBuilder()
                  .setWorkerId(changed.workerId())
                  .setStatus(SpecCodec.toOrdinal(changed.status()))
                  .setReason(changed.reason()));
      case CellRecord.HostJoined joined ->
          builder.setHostJoined(SpecCodec.toMessage(joined.host()));
      case CellRecord.HostLeft left ->
          builder.setHostLeft(
              HostLeftMessage.newBuilder().setHostId(left.hostId()).setReason(left.reason()));
      case CellRecord.ConfigurationChanged changed ->
          builder.setConfigurationChanged(
              ConfigurationChangedMessage.newBuilder()
                  .setBasedOn(changed.basedOn())
                  .setDocument(changed.document())
                  .setAuthor(changed.author())
                  .setReason(changed.reason()));
      case CellRecord.DomainDeclaredLost lost -> builder.setDomainLost(toMessage(lost));
      case CellRecord.StateDigest digest ->
          builder.setStateDigest(
              StateDigestMessage.newBuilder()
                  .setThroughOffset(digest.throughOffset())
                  .setDigest(digest.digest()));
      case CellRecord.SnapshotChunk chunk -> builder.setSnapshotChunk(toMessage(chunk));
    }
  }

  private static TaskStartedMessage toMessage(CellRecord.TaskStarted started) {
    return TaskStartedMessage.newBuilder()
        .setJobId(started.task().jobId())
        .setIndex(started.task().index())
        .setAttempt(started.attempt())
        .setWorkerId(started.workerId())
        .setMode(SpecCodec.toOrdinal(started.mode()))
        .build();
  }

  private static TaskEndedMessage toMessage(CellRecord.TaskEnded ended) {
    return TaskEndedMessage.newBuilder()
        .setJobId(ended.task().jobId())
        .setIndex(ended.task().index())
        .setAttempt(ended.attempt())
        .setOutcome(SpecCodec.toOrdinal(ended.outcome()))
        .build();
  }

  private static DomainLostMessage toMessage(CellRecord.DomainDeclaredLost lost) {
    DomainLostMessage.Builder builder =
        DomainLostMessage.newBuilder().setRegion(lost.region()).setReason(lost.reason());
    lost.zone().ifPresent(builder::setZone);
    return builder.build();
  }

  private static SnapshotChunkMessage toMessage(CellRecord.SnapshotChunk chunk) {
    try {
      return SnapshotChunkMessage.newBuilder()
          .setSnapshotId(chunk.snapshotId())
          .setThroughOffset(chunk.throughOffset())
          .setIndex(chunk.index())
          .setCount(chunk.count())
          .setContent(UnsafeByteOperations.unsafeWrap(chunk.content().read()))
          .build();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static Optional<CellRecord> decodeRecord(RecordMessage message) {
    return Optional.ofNullable(
        switch (message.getRecordCase()) {
          case LEADER_CLAIMED -> new CellRecord.LeaderClaimed(message.getLeaderClaimed());
          case JOB_ACCEPTED -> fromMessage(message.getJobAccepted());
          case JOB_CANCELLED ->
              new CellRecord.JobCancelled(
                  message.getJobCancelled().getJobId(), message.getJobCancelled().getReason());
          case TASK_STARTED -> fromMessage(message.getTaskStarted());
          case TASK_ENDED -> fromMessage(message.getTaskEnded());
          case WORKER_JOINED ->
              new CellRecord.WorkerJoined(SpecCodec.fromMessage(message.getWorkerJoined()));
          case WORKER_CHANGED -> fromMessage(message.getWorkerChanged());
          case HOST_JOINED ->
              new CellRecord.HostJoined(SpecCodec.fromMessage(message.getHostJoined()));
          case HOST_LEFT ->
              new CellRecord.HostLeft(
                  message.getHostLeft().getHostId(), message.getHostLeft().getReason());
          case CONFIGURATION_CHANGED -> fromMessage(message.getConfigurationChanged());
          case DOMAIN_LOST -> fromMessage(message.getDomainLost());
          case STATE_DIGEST ->
              new CellRecord.StateDigest(
                  message.getStateDigest().getThroughOffset(),
                  message.getStateDigest().getDigest());
          case SNAPSHOT_CHUNK -> fromMessage(message.getSnapshotChunk());
          case RECORD_NOT_SET -> null;
        });
  }

  private static CellRecord fromMessage(JobAcceptedMessage message) {
    return new CellRecord.JobAccepted(
        message.getJobId(),
        SpecCodec.fromMessage(message.getSpec()),
        message.getAcceptedAtMillis());
  }

  private static CellRecord fromMessage(TaskStartedMessage message) {
    return new CellRecord.TaskStarted(
        new TaskId(message.getJobId(), message.getIndex()),
        message.getAttempt(),
        message.getWorkerId(),
        SpecCodec.fromOrdinal(StartMode.values(), message.getMode()));
  }

  private static CellRecord fromMessage(TaskEndedMessage message) {
    return new CellRecord.TaskEnded(
        new TaskId(message.getJobId(), message.getIndex()),
        message.getAttempt(),
        SpecCodec.fromOrdinal(TaskOutcome.values(), message.getOutcome()));
  }

  private static CellRecord fromMessage(WorkerChangedMessage message) {
    return new CellRecord.WorkerChanged(
        message.getWorkerId(),
        SpecCodec.fromOrdinal(WorkerStatus.values(), message.getStatus()),
        message.getReason());
  }

  private static CellRecord fromMessage(ConfigurationChangedMessage message) {
    return new CellRecord.ConfigurationChanged(
        message.getBasedOn(), message.getDocument(), message.getAuthor(), message.getReason());
  }

  private static CellRecord fromMessage(DomainLostMessage message) {
    return new CellRecord.DomainDeclaredLost(
        message.getRegion(),
        message.hasZone() ? Optional.of(message.getZone()) : Optional.empty(),
        message.getReason());
  }

  private static CellRecord fromMessage(SnapshotChunkMessage message) {
    return new CellRecord.SnapshotChunk(
        message.getSnapshotId(),
        message.getThroughOffset(),
        message.getIndex(),
        message.getCount(),
        ByteSource.wrap(message.getContent().toByteArray()));
  }
}

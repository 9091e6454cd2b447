package org.vanillacove.protocol.record;

import com.google.common.io.ByteSource;
import com.google.common.io.ByteStreams;
import com.google.protobuf.CodedInputStream;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.vanillacove.protocol.generated.ConfigurationMessage;
import org.vanillacove.protocol.generated.JobStateMessage;
import org.vanillacove.protocol.generated.SnapshotMessage;
import org.vanillacove.protocol.generated.TaskStateMessage;
import org.vanillacove.protocol.generated.WorkerStateMessage;
import org.vanillacove.protocol.generated.WriterMessage;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.StartMode;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.cell.CellSnapshot;
import org.vanillacove.state.cell.ConfigurationDelta;
import org.vanillacove.state.cell.TaskState;
import org.vanillacove.state.cell.WriterPosition;

/** Converts a snapshot to compressed chunks and back. */
public final class SnapshotCodec {
  /** Maximum size of the content of a chunk in bytes. */
  public static final int CHUNK_BYTES = 4_096;

  private SnapshotCodec() {}

  /** Compresses a snapshot and returns its chunks in order. */
  public static List<CellRecord.SnapshotChunk> encode(String snapshotId, CellSnapshot snapshot) {
    byte[] bytes = deflate(toMessage(snapshot).toByteArray());
    int count = Math.max(1, (bytes.length + CHUNK_BYTES - 1) / CHUNK_BYTES);
    List<CellRecord.SnapshotChunk> chunks = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int from = i * CHUNK_BYTES;
      int length = Math.min(CHUNK_BYTES, bytes.length - from);
      chunks.add(
          new CellRecord.SnapshotChunk(
              snapshotId,
              snapshot.nextOffset() - 1,
              i,
              count,
              ByteSource.wrap(bytes).slice(from, length)));
    }
    return chunks;
  }

  /** Decodes a snapshot from all its chunks in order, empty if they are incomplete or malformed. */
  public static Optional<CellSnapshot> decode(List<CellRecord.SnapshotChunk> chunks) {
    try {
      byte[] bytes =
          ByteSource.concat(chunks.stream().map(CellRecord.SnapshotChunk::content).toList()).read();
      InflaterInputStream inflated = new InflaterInputStream(new ByteArrayInputStream(bytes));
      byte[] content = ByteStreams.toByteArray(inflated);
      return Optional.of(
          fromMessage(SnapshotMessage.parseFrom(CodedInputStream.newInstance(content))));
    } catch (IOException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static byte[] deflate(byte[] bytes) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (DeflaterOutputStream deflater = new DeflaterOutputStream(out)) {
      deflater.write(bytes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }

  private static SnapshotMessage toMessage(CellSnapshot snapshot) {
    SnapshotMessage.Builder builder =
        SnapshotMessage.newBuilder()
            .setNextOffset(snapshot.nextOffset())
            .setEpoch(snapshot.epoch())
            .setLeader(snapshot.leader())
            .addAllForgottenJobs(snapshot.forgottenJobs())
            .addAllSettledOrder(snapshot.settledOrder());
    Map<String, Integer> positions = new HashMap<>();
    for (CellSnapshot.Worker worker : snapshot.workers()) {
      positions.put(worker.spec().id(), positions.size() + 1);
      builder.addWorkers(
          WorkerStateMessage.newBuilder()
              .setSpec(SpecCodec.toMessage(worker.spec()))
              .setStatus(SpecCodec.toOrdinal(worker.status()))
              .setReason(worker.reason()));
    }
    snapshot.jobs().forEach(job -> builder.addJobs(toMessage(job, positions)));
    snapshot.hosts().forEach(host -> builder.addHosts(SpecCodec.toMessage(host)));
    for (ConfigurationDelta delta : snapshot.configurations()) {
      builder.addConfigurations(
          ConfigurationMessage.newBuilder()
              .setVersion(delta.version())
              .setDocument(delta.text())
              .setAuthor(delta.author())
              .setReason(delta.reason())
              .setPrefix(delta.prefix())
              .setSuffix(delta.suffix()));
    }
    snapshot
        .writers()
        .forEach(
            (writer, position) ->
                builder.addWriters(
                    WriterMessage.newBuilder()
                        .setWriter(writer)
                        .setSequence(position.sequence())
                        .setOffset(position.offset())));
    return builder.build();
  }

  private static JobStateMessage toMessage(CellSnapshot.Job job, Map<String, Integer> positions) {
    JobStateMessage.Builder builder =
        JobStateMessage.newBuilder()
            .setJobId(job.jobId())
            .setSpec(SpecCodec.toMessage(job.spec()))
            .setAcceptedAtMillis(job.acceptedAtMillis())
            .setAcceptedOffset(job.acceptedOffset())
            .setCancelled(job.cancelled());
    for (TaskState task : job.tasks()) {
      builder.addTasks(
          TaskStateMessage.newBuilder()
              .setAttempt(task.attempt())
              .setWorker(task.workerId().map(positions::get).orElse(0))
              .setOutcome(task.outcome().map(outcome -> SpecCodec.toOrdinal(outcome) + 1).orElse(0))
              .setFailures(task.failures())
              .setSettled(task.settled())
              .setWriteBehind(task.mode() == StartMode.WRITE_BEHIND));
    }
    return builder.build();
  }

  private static CellSnapshot fromMessage(SnapshotMessage message) {
    List<CellSnapshot.Worker> workers = new ArrayList<>();
    for (WorkerStateMessage worker : message.getWorkersList()) {
      workers.add(
          new CellSnapshot.Worker(
              SpecCodec.fromMessage(worker.getSpec()),
              SpecCodec.fromOrdinal(WorkerStatus.values(), worker.getStatus()),
              worker.getReason()));
    }
    Map<String, WriterPosition> writers = new LinkedHashMap<>();
    for (WriterMessage writer : message.getWritersList()) {
      writers.put(writer.getWriter(), new WriterPosition(writer.getSequence(), writer.getOffset()));
    }
    return new CellSnapshot(
        message.getNextOffset(),
        message.getEpoch(),
        message.getLeader(),
        message.getJobsList().stream().map(job -> fromMessage(job, workers)).toList(),
        List.copyOf(message.getSettledOrderList()),
        List.copyOf(message.getForgottenJobsList()),
        workers,
        message.getHostsList().stream().map(SpecCodec::fromMessage).toList(),
        message.getConfigurationsList().stream()
            .map(
                entry ->
                    new ConfigurationDelta(
                        entry.getVersion(),
                        entry.getAuthor(),
                        entry.getReason(),
                        entry.getPrefix(),
                        entry.getSuffix(),
                        entry.getDocument()))
            .toList(),
        writers);
  }

  private static CellSnapshot.Job fromMessage(
      JobStateMessage job, List<CellSnapshot.Worker> workers) {
    List<TaskState> tasks = new ArrayList<>(job.getTasksCount());
    for (TaskStateMessage task : job.getTasksList()) {
      tasks.add(
          new TaskState(
              task.getAttempt(),
              task.getWorker() == 0
                  ? Optional.empty()
                  : Optional.of(workers.get(task.getWorker() - 1).spec().id()),
              task.getOutcome() == 0
                  ? Optional.empty()
                  : Optional.of(SpecCodec.fromOrdinal(TaskOutcome.values(), task.getOutcome() - 1)),
              task.getFailures(),
              task.getSettled(),
              task.getWriteBehind() ? StartMode.WRITE_BEHIND : StartMode.WRITE_AHEAD));
    }
    return new CellSnapshot.Job(
        job.getJobId(),
        SpecCodec.fromMessage(job.getSpec()),
        job.getAcceptedAtMillis(),
        job.getAcceptedOffset(),
        job.getCancelled(),
        tasks);
  }
}

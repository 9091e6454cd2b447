package org.vanillacove.protocol.codec;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.vanillacove.protocol.generated.WorkerAttempt;
import org.vanillacove.protocol.generated.WorkerCommandMessage;
import org.vanillacove.protocol.generated.WorkerDone;
import org.vanillacove.protocol.generated.WorkerFence;
import org.vanillacove.protocol.generated.WorkerRefused;
import org.vanillacove.protocol.generated.WorkerRenew;
import org.vanillacove.protocol.generated.WorkerReplyMessage;
import org.vanillacove.protocol.generated.WorkerResources;
import org.vanillacove.protocol.generated.WorkerStale;
import org.vanillacove.protocol.generated.WorkerStart;
import org.vanillacove.protocol.generated.WorkerStop;
import org.vanillacove.protocol.generated.WorkerTaskReport;
import org.vanillacove.protocol.generated.WorkerTaskState;
import org.vanillacove.protocol.generated.WorkerThrottle;
import org.vanillacove.protocol.platform.TaskReport;
import org.vanillacove.protocol.platform.WorkerCommand;
import org.vanillacove.protocol.platform.WorkerReply;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;

/** Converts worker commands and replies to protobuf messages and back. */
public final class WorkerMessageCodec {
  private WorkerMessageCodec() {}

  /** Returns the encoded message of a command. */
  public static byte[] encodeCommand(WorkerCommand command) {
    WorkerCommandMessage.Builder message =
        WorkerCommandMessage.newBuilder().setEpoch(command.epoch());
    switch (command) {
      case WorkerCommand.Fence fence -> message.setFence(WorkerFence.getDefaultInstance());
      case WorkerCommand.Start start -> message.setStart(encodeStart(start));
      case WorkerCommand.Stop stop ->
          message.setStop(
              WorkerStop.newBuilder()
                  .setAttempt(encodeAttempt(stop.task(), stop.attempt()))
                  .setCheckpoint(stop.checkpoint()));
      case WorkerCommand.Throttle throttle ->
          message.setThrottle(
              WorkerThrottle.newBuilder()
                  .setAttempt(encodeAttempt(throttle.task(), throttle.attempt()))
                  .setCpuMillis(throttle.cpuMillis()));
      case WorkerCommand.Renew renew ->
          message.setRenew(
              WorkerRenew.newBuilder()
                  .setLeaseMillis(renew.leaseMillis())
                  .setKeepOnly(renew.keepOnly()));
    }
    return message.build().toByteArray();
  }

  /**
   * Decodes a command.
   *
   * @throws InvalidProtocolBufferException if the message is malformed or holds no known command
   */
  public static WorkerCommand decodeCommand(byte[] bytes) throws InvalidProtocolBufferException {
    WorkerCommandMessage message = WorkerCommandMessage.parseFrom(bytes);
    long epoch = message.getEpoch();
    return switch (message.getCommandCase()) {
      case FENCE -> new WorkerCommand.Fence(epoch);
      case START -> decodeStart(epoch, message.getStart());
      case STOP -> {
        WorkerStop stop = message.getStop();
        yield new WorkerCommand.Stop(
            epoch,
            decodeTask(stop.getAttempt()),
            stop.getAttempt().getAttempt(),
            stop.getCheckpoint());
      }
      case THROTTLE -> {
        WorkerThrottle throttle = message.getThrottle();
        yield new WorkerCommand.Throttle(
            epoch,
            decodeTask(throttle.getAttempt()),
            throttle.getAttempt().getAttempt(),
            throttle.getCpuMillis());
      }
      case RENEW ->
          new WorkerCommand.Renew(
              epoch, message.getRenew().getLeaseMillis(), message.getRenew().getKeepOnly());
      case COMMAND_NOT_SET -> throw new InvalidProtocolBufferException("command: not set");
    };
  }

  /** Returns the encoded message of a reply, empty for {@link WorkerReply.Unknown}. */
  public static Optional<byte[]> encodeReply(WorkerReply reply) {
    WorkerReplyMessage.Builder message = WorkerReplyMessage.newBuilder();
    switch (reply) {
      case WorkerReply.Done done -> {
        WorkerDone.Builder encoded = WorkerDone.newBuilder().setEpoch(done.epoch());
        done.tasks().forEach(report -> encoded.addTasks(encodeReport(report)));
        message.setDone(encoded);
      }
      case WorkerReply.Stale stale ->
          message.setStale(WorkerStale.newBuilder().setHighestEpoch(stale.highestEpoch()));
      case WorkerReply.Refused refused ->
          message.setRefused(WorkerRefused.newBuilder().setReason(refused.reason()));
      case WorkerReply.Unknown unknown -> {
        return Optional.empty();
      }
    }
    return Optional.of(message.build().toByteArray());
  }

  /**
   * Decodes a reply.
   *
   * @throws InvalidProtocolBufferException if the message is malformed or holds no known reply
   */
  public static WorkerReply decodeReply(byte[] bytes) throws InvalidProtocolBufferException {
    WorkerReplyMessage message = WorkerReplyMessage.parseFrom(bytes);
    return switch (message.getReplyCase()) {
      case DONE -> decodeDone(message.getDone());
      case STALE -> new WorkerReply.Stale(message.getStale().getHighestEpoch());
      case REFUSED -> new WorkerReply.Refused(message.getRefused().getReason());
      case REPLY_NOT_SET -> throw new InvalidProtocolBufferException("reply: not set");
    };
  }

  private static WorkerStart encodeStart(WorkerCommand.Start start) {
    return WorkerStart.newBuilder()
        .setAttempt(encodeAttempt(start.task(), start.attempt()))
        .setResources(encodeResources(start.resources()))
        .setKeep(start.loss() == LossPolicy.KEEP)
        .setLeaseMillis(start.leaseMillis())
        .setCommand(start.command())
        .build();
  }

  private static WorkerCommand.Start decodeStart(long epoch, WorkerStart start) {
    return new WorkerCommand.Start(
        epoch,
        decodeTask(start.getAttempt()),
        start.getAttempt().getAttempt(),
        decodeResources(start.getResources()),
        start.getKeep() ? LossPolicy.KEEP : LossPolicy.MOVE,
        start.getLeaseMillis(),
        start.getCommand());
  }

  private static WorkerReply decodeDone(WorkerDone done) throws InvalidProtocolBufferException {
    List<TaskReport> reports = new ArrayList<>(done.getTasksCount());
    for (WorkerTaskReport report : done.getTasksList()) {
      reports.add(
          new TaskReport(
              decodeTask(report.getAttempt()),
              report.getAttempt().getAttempt(),
              decodeState(report.getState()),
              decodeResources(report.getUsed())));
    }
    return new WorkerReply.Done(done.getEpoch(), reports);
  }

  private static WorkerTaskReport encodeReport(TaskReport report) {
    return WorkerTaskReport.newBuilder()
        .setAttempt(encodeAttempt(report.task(), report.attempt()))
        .setState(
            report
                .ended()
                .map(WorkerMessageCodec::encodeState)
                .orElse(WorkerTaskState.WORKER_TASK_RUNNING))
        .setUsed(encodeResources(report.used()))
        .build();
  }

  private static WorkerTaskState encodeState(TaskOutcome outcome) {
    return switch (outcome) {
      case SUCCEEDED -> WorkerTaskState.WORKER_TASK_SUCCEEDED;
      case FAILED -> WorkerTaskState.WORKER_TASK_FAILED;
      case PREEMPTED -> WorkerTaskState.WORKER_TASK_PREEMPTED;
      case CANCELLED -> WorkerTaskState.WORKER_TASK_CANCELLED;
      case LOST -> WorkerTaskState.WORKER_TASK_LOST;
      case NOT_RUN -> WorkerTaskState.WORKER_TASK_NOT_RUN;
      case UNKNOWN -> WorkerTaskState.WORKER_TASK_UNKNOWN;
    };
  }

  private static Optional<TaskOutcome> decodeState(WorkerTaskState state)
      throws InvalidProtocolBufferException {
    return switch (state) {
      case WORKER_TASK_RUNNING -> Optional.empty();
      case WORKER_TASK_SUCCEEDED -> Optional.of(TaskOutcome.SUCCEEDED);
      case WORKER_TASK_FAILED -> Optional.of(TaskOutcome.FAILED);
      case WORKER_TASK_PREEMPTED -> Optional.of(TaskOutcome.PREEMPTED);
      case WORKER_TASK_CANCELLED -> Optional.of(TaskOutcome.CANCELLED);
      case WORKER_TASK_LOST -> Optional.of(TaskOutcome.LOST);
      case WORKER_TASK_NOT_RUN -> Optional.of(TaskOutcome.NOT_RUN);
      case WORKER_TASK_UNKNOWN -> Optional.of(TaskOutcome.UNKNOWN);
      case UNRECOGNIZED ->
          throw new InvalidProtocolBufferException("done.tasks.state: not a known state");
    };
  }

  private static WorkerAttempt encodeAttempt(TaskId task, int attempt) {
    return WorkerAttempt.newBuilder()
        .setJobId(task.jobId())
        .setTaskIndex(task.index())
        .setAttempt(attempt)
        .build();
  }

  private static TaskId decodeTask(WorkerAttempt attempt) {
    return new TaskId(attempt.getJobId(), attempt.getTaskIndex());
  }

  private static WorkerResources encodeResources(Resources resources) {
    return WorkerResources.newBuilder()
        .setCpuMillis(resources.cpuMillis())
        .setMemoryMib(resources.memoryMib())
        .setAccelerators(resources.accelerators())
        .build();
  }

  private static Resources decodeResources(WorkerResources resources) {
    return new Resources(
        resources.getCpuMillis(), resources.getMemoryMib(), resources.getAccelerators());
  }
}

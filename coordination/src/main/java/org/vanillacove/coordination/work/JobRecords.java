package org.vanillacove.coordination.work;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.vanillacove.protocol.generated.WorkEndedMessage;
import org.vanillacove.protocol.generated.WorkJobMessage;
import org.vanillacove.protocol.generated.WorkOutcomeMessage;
import org.vanillacove.protocol.generated.WorkProgressMessage;
import org.vanillacove.protocol.generated.WorkStepMessage;
import org.vanillacove.protocol.generated.WorkTaskMessage;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.work.JobSpec;
import org.vanillacove.state.work.StepSpec;

/** Encodes and decodes the durable records of jobs and defines their keys. */
final class JobRecords {
  /** Key prefix of the records of accepted jobs. */
  static final String JOB = "job/";

  /** Key prefix of the records of a job's progress or outcome. */
  static final String PROGRESS = "progress/";

  /** Key prefix of the records of workers that may hold runs. */
  static final String WORKER = "worker/";

  /** Key prefix of the records that bundle ended jobs. */
  static final String ENDED = "ended/";

  /** Radix of job identifiers, which are 64-bit numbers in hexadecimal. */
  private static final int ID_RADIX = 16;

  private JobRecords() {}

  /** Encodes the acceptance of a job. */
  static ByteString job(JobSpec spec, long wallMillis) {
    WorkJobMessage.Builder message =
        WorkJobMessage.newBuilder()
            .setId(spec.id())
            .setQueue(spec.queue())
            .setPayload(spec.payload())
            .setAcceptedWallMillis(wallMillis)
            .setOrganisation(spec.organisation().orElse(""));
    spec.steps().forEach(step -> message.addSteps(step(step)));
    return message.build().toByteString();
  }

  /** Encodes a bundle of ended jobs. */
  static ByteString ended(EndedJobs.Bundle bundle) {
    WorkEndedMessage.Builder message = WorkEndedMessage.newBuilder();
    for (EndedJobs.Ended job : bundle.jobs()) {
      message
          .addIds(Long.parseUnsignedLong(job.id(), ID_RADIX))
          .addOutcomes(outcome(job.outcome()));
    }
    if (bundle.jobs().stream().anyMatch(job -> job.organisation().isPresent())) {
      bundle.jobs().forEach(job -> message.addOrganisations(job.organisation().orElse("")));
    }
    return message.build().toByteString();
  }

  /** Returns the bundle in a record of ended jobs, or empty if it is malformed or empty. */
  static Optional<EndedJobs.Bundle> parseEnded(ByteString bytes, long nowMillis) {
    try {
      WorkEndedMessage message = WorkEndedMessage.parseFrom(bytes);
      List<EndedJobs.Ended> jobs = new ArrayList<>();
      for (int i = 0; i < Math.min(message.getIdsCount(), message.getOutcomesCount()); i++) {
        String id = HexFormat.of().toHexDigits(message.getIds(i));
        // Older records and those without any organisation lack the list.
        String organisation =
            i < message.getOrganisationsCount() ? message.getOrganisations(i) : "";
        jobs.add(
            new EndedJobs.Ended(
                id, stage(message.getOutcomes(i)), organisation(organisation), nowMillis));
      }
      return jobs.isEmpty() ? Optional.empty() : Optional.of(new EndedJobs.Bundle(jobs));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  /** Returns the wall-clock time of an acceptance in milliseconds since 1970, 0 if unknown. */
  static long acceptedWallMillis(ByteString bytes) {
    try {
      return WorkJobMessage.parseFrom(bytes).getAcceptedWallMillis();
    } catch (InvalidProtocolBufferException e) {
      return 0;
    }
  }

  /** Encodes the outcome of {@code job}, or the progress of its tasks while it is open. */
  static ByteString progress(TrackedJob job) {
    WorkProgressMessage.Builder message =
        WorkProgressMessage.newBuilder().setOutcome(outcome(job.stage()));
    if (message.getOutcome() == WorkOutcomeMessage.WORK_OPEN) {
      for (TrackedStep step : job.steps()) {
        step.tasks().stream()
            .filter(task -> task.isDone() || task.lastCountedRun() > 0)
            .forEach(task -> message.addTasks(task(task)));
      }
    } else {
      // The record of the acceptance, which also names it, is dropped at the end.
      job.spec().organisation().ifPresent(message::setOrganisation);
    }
    return message.build().toByteString();
  }

  /** Returns the job in a record, or empty if the record is malformed. */
  static Optional<JobSpec> parseJob(ByteString bytes) {
    try {
      WorkJobMessage message = WorkJobMessage.parseFrom(bytes);
      return Optional.of(
          new JobSpec(
              message.getId(),
              message.getQueue(),
              message.getPayload(),
              message.getStepsList().stream().map(JobRecords::parseStep).toList(),
              organisation(message.getOrganisation())));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  /** Returns the progress in a record, or empty if the record is malformed. */
  static Optional<WorkProgressMessage> parseProgress(ByteString bytes) {
    try {
      return Optional.of(WorkProgressMessage.parseFrom(bytes));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  /** Returns the organisation that a record names, empty if it names none. */
  static Optional<String> organisation(String recorded) {
    return Optional.of(recorded).filter(name -> !name.isEmpty());
  }

  /** Returns the numbers of the failed runs of a task. */
  static List<Integer> failedRuns(WorkTaskMessage task) {
    if (task.getFailedRunsCount() >= task.getFailures()) {
      return task.getFailedRunsList();
    }
    // Older records hold only the number of failures; these were the latest runs at the most.
    int last = task.getLastEndedRun();
    return IntStream.rangeClosed(last - task.getFailures() + 1, last).boxed().toList();
  }

  /** Returns the stage for a recorded outcome; unrecognized outcomes count as open. */
  static TrackedJob.Stage stage(WorkOutcomeMessage outcome) {
    return switch (outcome) {
      case WORK_COMPLETED -> TrackedJob.Stage.COMPLETED;
      case WORK_FAILED -> TrackedJob.Stage.FAILED;
      case WORK_CANCELLED -> TrackedJob.Stage.CANCELLED;
      case WORK_OPEN, UNRECOGNIZED -> TrackedJob.Stage.OPEN;
    };
  }

  private static WorkOutcomeMessage outcome(TrackedJob.Stage stage) {
    return switch (stage) {
      case COMPLETING, COMPLETED -> WorkOutcomeMessage.WORK_COMPLETED;
      case FAILING, FAILED -> WorkOutcomeMessage.WORK_FAILED;
      case CANCELLING, CANCELLED -> WorkOutcomeMessage.WORK_CANCELLED;
      case ACCEPTING, OPEN -> WorkOutcomeMessage.WORK_OPEN;
    };
  }

  private static WorkTaskMessage task(TrackedTask task) {
    return WorkTaskMessage.newBuilder()
        .setStep(task.name().step())
        .setIndex(task.name().index())
        .setDone(task.isDone())
        .setFailures(task.failures())
        .addAllFailedRuns(task.failedRuns())
        .setLastEndedRun(task.lastCountedRun())
        .setCheckpoint(task.isDone() ? "" : task.checkpoint())
        .build();
  }

  private static WorkStepMessage step(StepSpec step) {
    return WorkStepMessage.newBuilder()
        .setCount(step.count())
        .setCpuMillis(step.demand().cpuMillis())
        .setMemoryMib(step.demand().memoryMib())
        .setAccelerators(step.demand().accelerators())
        .setEstimateMillis(step.estimateMillis())
        .addAllAfter(step.after())
        .setCheckpoints(step.checkpoints())
        .setGang(step.gang())
        .setSameRack(step.sameRack())
        .setRequiredLabel(step.requiredLabel().orElse(""))
        .setDataRack(step.dataRack().orElse(""))
        .setMaxPerWorker(step.maxPerWorker())
        .build();
  }

  private static StepSpec parseStep(WorkStepMessage message) {
    return new StepSpec(
        message.getCount(),
        new Resources(message.getCpuMillis(), message.getMemoryMib(), message.getAccelerators()),
        message.getEstimateMillis(),
        message.getAfterList(),
        message.getCheckpoints(),
        message.getGang(),
        message.getSameRack(),
        Optional.of(message.getRequiredLabel()).filter(label -> !label.isEmpty()),
        Optional.of(message.getDataRack()).filter(rack -> !rack.isEmpty()),
        message.getMaxPerWorker());
  }
}

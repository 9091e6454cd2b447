package org.vanillacove.transport.operator;

import com.google.common.base.Ascii;
import java.util.List;
import org.vanillacove.coordination.api.CellView.JobView;
import org.vanillacove.coordination.api.CellView.TaskView;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WaitReason;
import org.vanillacove.transport.operator.message.JobMessage;

/** Converts job views to messages of the operator API. */
final class JobMessages {
  private JobMessages() {}

  static JobMessage of(JobView job, boolean withTasks) {
    int running = (int) job.tasks().stream().filter(JobMessages::isRunning).count();
    int ended = (int) job.tasks().stream().filter(TaskView::settled).count();
    return new JobMessage(
        job.jobId(),
        job.spec().name(),
        job.spec().team(),
        job.spec().kind(),
        Ascii.toLowerCase(job.spec().priority().name()),
        state(job, running, ended),
        job.acceptedAtMillis(),
        job.spec().taskCount(),
        running,
        ended,
        job.spec().resources().cpuMillis(),
        job.spec().resources().memoryMib(),
        job.spec().resources().accelerators(),
        job.waiting().map(WaitReason::constraint),
        job.waiting().map(WaitReason::remedy),
        withTasks ? job.tasks().stream().map(JobMessages::task).toList() : List.of());
  }

  static boolean isRunning(TaskView task) {
    return !task.settled() && task.workerId().isPresent() && task.outcome().isEmpty();
  }

  private static JobMessage.State state(JobView job, int running, int ended) {
    int count = job.tasks().size();
    if (job.cancelled()) {
      return ended == count ? JobMessage.State.CANCELLED : JobMessage.State.CANCELLING;
    }
    if (count > 0 && ended == count) {
      return finalState(job);
    }
    if (running == 0) {
      return JobMessage.State.WAITING;
    }
    return running + ended == count ? JobMessage.State.RUNNING : JobMessage.State.PARTLY_RUNNING;
  }

  private static JobMessage.State finalState(JobView job) {
    if (job.tasks().stream().anyMatch(task -> endedAs(task, TaskOutcome.UNKNOWN))) {
      return JobMessage.State.UNKNOWN;
    }
    return job.tasks().stream().allMatch(task -> endedAs(task, TaskOutcome.SUCCEEDED))
        ? JobMessage.State.SUCCEEDED
        : JobMessage.State.FAILED;
  }

  private static boolean endedAs(TaskView task, TaskOutcome outcome) {
    return task.outcome().filter(outcome::equals).isPresent();
  }

  private static JobMessage.TaskMessage task(TaskView task) {
    return new JobMessage.TaskMessage(
        task.index(), task.attempt(), task.workerId(), task.outcome(), task.settled());
  }
}

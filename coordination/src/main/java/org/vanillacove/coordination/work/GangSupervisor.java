package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import org.vanillacove.coordination.work.api.TaskName;
import org.vanillacove.protocol.timer.TimerService;

/** Follows the runs of gangs from their first start command until all members are present. */
final class GangSupervisor {
  /** Logs complete and incomplete runs of gangs (prefix {@code jobs:}). */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** All known jobs. */
  private final JobTable jobs;

  /** Clock by which the start of a run is measured. */
  private final TimerService timer;

  /** Creates a supervisor over the cell's jobs. */
  GangSupervisor(JobTable jobs, TimerService timer) {
    this.jobs = jobs;
    this.timer = timer;
  }

  /** Begins to follow run {@code number} of a gang, whose start commands are sent now. */
  void placed(TrackedStep step, int number) {
    step.setGangRun(new GangRun(number, step.spec().count(), timer.monotonicMillis()));
  }

  /** Records that a worker confirmed the start of a member. */
  void memberPresent(TaskName task, int run) {
    current(task, run)
        .filter(gang -> gang.confirm(task.index()))
        .ifPresent(
            gang ->
                LOG.atInfo().log(
                    "jobs: gang complete job=%s step=%d run=%d members=%d ms=%d",
                    task.job(), task.step(), run, gang.size(), ageMillis(gang)));
  }

  /** Records that a member was refused, lost or ended; {@code reason} says which. */
  void memberGone(TaskName task, int run, Object reason) {
    Optional<GangRun> gang = current(task, run);
    if (gang.isEmpty() || !gang.get().end() || gang.get().isComplete()) {
      return;
    }
    LOG.atInfo().log(
        "jobs: gang incomplete job=%s step=%d run=%d members=%d present=%d ms=%d index=%d reason=%s",
        task.job(),
        task.step(),
        run,
        gang.get().size(),
        gang.get().presentMembers(),
        ageMillis(gang.get()),
        task.index(),
        reason);
  }

  private Optional<GangRun> current(TaskName task, int run) {
    return jobs.find(task.job())
        .flatMap(job -> job.steps().get(task.step()).gangRun())
        .filter(gang -> gang.number() == run);
  }

  private long ageMillis(GangRun gang) {
    return timer.monotonicMillis() - gang.sinceMillis();
  }
}

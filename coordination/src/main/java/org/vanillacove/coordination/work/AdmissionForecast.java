package org.vanillacove.coordination.work;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.work.AdmissionPolicy;
import org.vanillacove.state.work.JobSpec;
import org.vanillacove.state.work.QueuePolicy;
import org.vanillacove.state.work.StepSpec;

/**
 * Collects what the admission of a job depends on: the accepted work that precedes it and the
 * capacity that is free for it now.
 */
final class AdmissionForecast {
  /** Number of CPU millis in one core. */
  private static final double MILLIS_PER_CORE = 1000;

  /** All known jobs. */
  private final JobTable jobs;

  /** Sessions by worker identifier; maintained by the cell. */
  private final Map<String, WorkerSession> workers;

  /** Policies of the queues. */
  private final QueueTable queues;

  /** What organisations have running, and their shares. */
  private final OrganisationUsage usage;

  /** Clock by which the lateness of jobs is judged. */
  private final TimerService timer;

  /** Creates a forecast over the cell's jobs and workers. */
  AdmissionForecast(
      JobTable jobs,
      Map<String, WorkerSession> workers,
      QueueTable queues,
      OrganisationUsage usage,
      TimerService timer) {
    this.jobs = jobs;
    this.workers = workers;
    this.queues = queues;
    this.usage = usage;
    this.timer = timer;
  }

  /**
   * Returns empty to accept the job, or the retry delay of a rejected caller.
   *
   * @param owed whether the job is within the rate of its organisation, so that the excess of
   *     others does not precede it
   */
  Optional<Duration> rejection(JobSpec spec, QueuePolicy policy, boolean owed) {
    AdmissionPolicy.View view = view(spec, policy, owed);
    // Looked at only if the job would be rejected, which is rare outside of an overload.
    return AdmissionPolicy.isOnTime(view)
        ? Optional.empty()
        : AdmissionPolicy.rejection(spec.id(), view, freeCapacity(spec, policy));
  }

  /** Returns the capacity for a job and the accepted work that precedes it. */
  AdmissionPolicy.View view(JobSpec spec, QueuePolicy policy, boolean owed) {
    double cores = 0;
    Resources largest = Resources.NONE;
    for (WorkerSession worker : workers.values()) {
      largest = largest.max(worker.capacity());
      // Counts workers that are paused or haven't reported to a new leader yet, since they are
      // usable again before the job is late.
      if (worker.isListed()
          && worker.isDescribed()
          && !worker.entry().draining()
          && worker.entry().service().equals(policy.service())) {
        cores += worker.capacity().cpuMillis() / MILLIS_PER_CORE;
      }
    }
    Map<String, Double> backlogs = new HashMap<>();
    for (TrackedJob job : jobs.open()) {
      if (precedes(job, policy) && !(owed && isExcessOfOther(job, spec))) {
        // Work that is too large for every worker keeps none of them from other jobs.
        backlogs.merge(
            OrganisationUsage.nameOf(job.spec()), waitingCoreMillis(job, largest), Double::sum);
      }
    }
    double backlog = usage.precedingWork(backlogs, spec, owed);
    long slack = policy.objectiveMillis(spec) - spec.chainMillis();
    return new AdmissionPolicy.View(cores, backlog, slack);
  }

  /** Returns whether {@code job} is beyond the rate of another organisation than that of spec. */
  private static boolean isExcessOfOther(TrackedJob job, JobSpec spec) {
    return job.isExcess() && !job.spec().organisation().equals(spec.organisation());
  }

  /** Returns whether the job is served before a new one of {@code policy}'s queue. */
  private boolean precedes(TrackedJob job, QueuePolicy policy) {
    Optional<QueuePolicy> other = queues.policy(job.spec().queue());
    return other.isPresent()
        && other.get().priority() <= policy.priority()
        && !earnsNothing(job, other.get());
  }

  /** Returns whether all steps that could start are too late for any credit, so that they wait. */
  private boolean earnsNothing(TrackedJob job, QueuePolicy policy) {
    long now = timer.monotonicMillis();
    return job.steps().stream()
        .filter(step -> step.waitingCount() > 0 && job.isReady(step))
        .allMatch(step -> job.waiting(step, policy).earnsNothing(now));
  }

  private static double waitingCoreMillis(TrackedJob job, Resources largest) {
    double total = 0;
    for (TrackedStep step : job.steps()) {
      StepSpec spec = step.spec();
      if (spec.demand().fitsIn(largest)) {
        total += (double) spec.coreMillis() / spec.count() * step.waitingCount();
      }
    }
    return total;
  }

  private AdmissionPolicy.FreeCapacity freeCapacity(JobSpec spec, QueuePolicy policy) {
    StepSpec first = spec.steps().getFirst();
    double taskCores = first.demand().cpuMillis() / MILLIS_PER_CORE;
    long now = timer.monotonicMillis();
    double free = 0;
    for (WorkerSession worker : workers.values()) {
      if (worker.isUsable(now) && worker.entry().service().equals(policy.service())) {
        free += worker.freeCapacity(0).slots(first) * taskCores;
      }
    }
    // A waiting gang keeps workers free, but not from other gangs and queues of priority 0.
    boolean behindGangs = policy.priority() > 0 && !first.gang();
    double waiting = 0;
    for (TrackedJob job : jobs.open()) {
      waiting += precedes(job, policy) ? readyCores(job, behindGangs) : 0;
    }
    return new AdmissionPolicy.FreeCapacity(free, waiting, taskCores * first.count());
  }

  private static double readyCores(TrackedJob job, boolean withGangs) {
    double cores = 0;
    for (TrackedStep step : job.steps()) {
      if (job.isReady(step) && (withGangs || !step.spec().gang())) {
        cores += step.spec().demand().cpuMillis() / MILLIS_PER_CORE * step.waitingCount();
      }
    }
    return cores;
  }
}

package org.vanillacove.coordination.work;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.tenancy.CapPolicy;
import org.vanillacove.state.tenancy.FairShare;
import org.vanillacove.state.tenancy.Organisation;
import org.vanillacove.state.tenancy.OrganisationTable;
import org.vanillacove.state.work.JobSpec;

/**
 * What each organisation may have running on all workers, and the caps on it. A run counts for as
 * long as it reserves capacity in a session. A run of a job that isn't known any more counts
 * against every cap, and so does the capacity of the workers of which the runs aren't known.
 */
final class OrganisationUsage implements Reservations {
  /** Name under which the runs of jobs without an organisation count. */
  private static final String NO_ORGANISATION = "";

  /** Finds a job that is known to this leader. */
  private final Function<String, Optional<TrackedJob>> jobs;

  /** Total capacity of the workers that may hold unknown runs; empty if it has no known bound. */
  private final Supplier<Optional<Resources>> unknownRuns;

  /**
   * Caps by organisation. One that left the configuration keeps its last cap, since its runs and
   * accepted jobs remain.
   */
  private final Map<String, Resources> caps = new HashMap<>();

  /** Organisations of the configuration in force. */
  private OrganisationTable configured = OrganisationTable.NONE;

  /** Organisation of each run that reserves capacity; empty if its job isn't known. */
  private final Map<TaskRun, Optional<String>> owners = new HashMap<>();

  /** Demand of these runs by organisation, without those of unknown jobs. */
  private final Map<String, Resources> use = new HashMap<>();

  /** Organisations of which a task was held back since the last report. */
  private final Set<String> heldBack = new HashSet<>();

  /** Rejected submissions of this term, by organisation. */
  private final Map<String, Long> rejected = new HashMap<>();

  /** Demand of the runs of unknown jobs. */
  private Resources unowned = Resources.NONE;

  /**
   * Creates a table without runs and caps.
   *
   * @param jobs finds a job that is known to this leader
   * @param unknownRuns returns the total capacity of the workers that may hold unknown runs, empty
   *     if it has no known bound
   */
  OrganisationUsage(
      Function<String, Optional<TrackedJob>> jobs, Supplier<Optional<Resources>> unknownRuns) {
    this.jobs = jobs;
    this.unknownRuns = unknownRuns;
  }

  /** Takes over the organisations of a configuration. */
  void configure(OrganisationTable organisations) {
    configured = organisations;
    for (Organisation each : organisations.all()) {
      caps.put(each.name(), each.cap());
    }
  }

  @Override
  public void reserved(TaskRun run) {
    Optional<String> owner = jobs.apply(run.task().job()).map(job -> nameOf(job.spec()));
    owners.put(run, owner);
    if (owner.isEmpty()) {
      unowned = unowned.plus(run.demand());
    } else {
      use.merge(owner.get(), run.demand(), Resources::plus);
    }
  }

  @Override
  public void released(TaskRun run) {
    Optional<String> owner = owners.remove(run);
    if (owner.isEmpty()) {
      unowned = unowned.minus(run.demand());
    } else {
      use.computeIfPresent(owner.get(), (name, before) -> withoutRun(before, run));
    }
  }

  private static Resources withoutRun(Resources before, TaskRun run) {
    Resources after = before.minus(run.demand());
    return after.equals(Resources.NONE) ? null : after;
  }

  /** Returns the name under which the runs of a job count. */
  static String nameOf(JobSpec job) {
    return job.organisation().orElse(NO_ORGANISATION);
  }

  /** Returns the organisations of the configuration in force. */
  OrganisationTable configured() {
    return configured;
  }

  /** Returns what the known runs of an organisation use. */
  Resources use(String organisation) {
    return use.getOrDefault(organisation, Resources.NONE);
  }

  /** Returns the weights of the configured organisations, by name. */
  Map<String, Double> weights() {
    Map<String, Double> weights = new HashMap<>();
    configured.all().forEach(each -> weights.put(each.name(), each.weight()));
    return weights;
  }

  /**
   * Returns how much of the waiting work precedes a job: all of it for a job beyond the rate of its
   * organisation, since the others go first.
   *
   * @param backlogs waiting work by organisation
   * @param job job that is submitted
   * @param owed whether it is within the rate of its organisation
   */
  double precedingWork(Map<String, Double> backlogs, JobSpec job, boolean owed) {
    if (!owed || configured.all().isEmpty()) {
      return backlogs.values().stream().mapToDouble(Double::doubleValue).sum();
    }
    return new FairShare(Resources.NONE, weights()).precedingWork(backlogs, nameOf(job));
  }

  /** Returns the last known cap of an organisation; a component of 0 is no limit. */
  Resources lastCap(String organisation) {
    return caps.getOrDefault(organisation, Resources.NONE);
  }

  /** Returns an upper bound of what runs that count against every cap use; empty if unbounded. */
  Optional<Resources> unknown() {
    return unknownRuns.get().map(unowned::plus);
  }

  /** Records that the cap of the job's organisation holds a task back. */
  void markHeldBack(JobSpec job) {
    heldBack.add(nameOf(job));
  }

  /** Returns the organisations of which a task was held back since the last call. */
  Set<String> takeHeldBack() {
    Set<String> taken = Set.copyOf(heldBack);
    heldBack.clear();
    return taken;
  }

  /** Counts a rejected submission of a configured organisation. */
  void countRejected(JobSpec job) {
    job.organisation()
        .filter(name -> configured.find(name).isPresent())
        .ifPresent(name -> rejected.merge(name, 1L, Long::sum));
  }

  /** Returns the number of rejected submissions of an organisation in this term. */
  long rejected(String organisation) {
    return rejected.getOrDefault(organisation, 0L);
  }

  /** Returns the cap of the job's organisation, empty if there is no limit for it. */
  Optional<Resources> cap(JobSpec job) {
    return job.organisation().map(caps::get).filter(cap -> !CapPolicy.isUnlimited(cap));
  }

  /**
   * Returns how many waiting tasks of a step may start under the cap of the job's organisation; for
   * a gang all or none.
   *
   * @param job job of the step
   * @param step step whose tasks wait
   * @param claimed room that waiting gangs of the same organisation need
   * @param unknown upper bound of what unknown runs use, see {@link #unknown()}
   */
  int startable(JobSpec job, TrackedStep step, Resources claimed, Optional<Resources> unknown) {
    int waiting = step.waitingCount();
    Optional<Resources> cap = cap(job);
    if (cap.isEmpty()) {
      return waiting;
    }
    if (unknown.isEmpty()) {
      return 0;
    }
    Resources bound = use(nameOf(job)).plus(unknown.get());
    int startable = CapPolicy.startable(cap.get(), bound, claimed, step.spec().demand(), waiting);
    return step.spec().gang() && startable < waiting ? 0 : startable;
  }

  /** Returns the first step of a job of which a task, or the whole gang, exceeds the cap. */
  Optional<CapPolicy.Excess> excess(JobSpec job) {
    return cap(job)
        .flatMap(
            cap ->
                job.steps().stream()
                    .map(
                        step ->
                            CapPolicy.excess(cap, step.demand(), step.gang() ? step.count() : 1))
                    .flatMap(Optional::stream)
                    .findFirst());
  }
}

package org.vanillacove.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.math3.random.RandomGenerator;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.PlacementConstraints;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkloadKind;

/** Job families of all teams, generated at random; jobs of a family have similar properties. */
public final class JobCatalog {
  /** Processor capacity that fractions of a worker refer to, in thousandths of a core. */
  private static final long MAX_CPU_MILLIS = 64_000;

  /** Number of job families of each team. */
  private static final int FAMILIES_PER_TEAM = 4;

  /** Denominators of the fraction of a worker that a task takes; common ones occur repeatedly. */
  private static final int[] WORKER_FRACTIONS = {32, 32, 32, 16, 16, 16, 8, 8, 4, 2};

  /** Weights of the teams in the quotas, assigned in turn. */
  private static final int[] TEAM_WEIGHTS = {1, 1, 2, 3, 4};

  /** Cell whose worker capacity determines the size of tasks. */
  private final CellShape shape;

  /** Source of all random choices. */
  private final RandomGenerator random;

  /** Families of batch jobs and gangs. */
  private final List<JobSpec> families = new ArrayList<>();

  /** Creates the families of all teams of a cell. */
  public JobCatalog(CellShape shape, RandomGenerator random) {
    this.shape = shape;
    this.random = random;
    for (int team = 0; team < shape.teams(); team++) {
      for (int family = 0; family < FAMILIES_PER_TEAM; family++) {
        families.add(newFamily("team" + team, "family" + family));
      }
    }
  }

  /** Returns a random batch job or gang, or with the given probability an urgent job. */
  public JobSpec randomJob(double urgentShare) {
    JobSpec family = families.get(random.nextInt(families.size()));
    if (random.nextDouble() < urgentShare) {
      return job(
          family,
          "urgent",
          WorkloadKind.BATCH,
          PriorityClass.URGENT,
          1,
          fractionOfWorker(WORKER_FRACTIONS[random.nextInt(6)], 0));
    }
    boolean gang = family.kind() == WorkloadKind.GANG;
    int tasks = gang ? 2 + random.nextInt(7) : 1 + geometric(3);
    return job(family, family.name(), family.kind(), family.priority(), tasks, family.resources());
  }

  /** Returns a service with three to nine replicas. */
  public JobSpec service(int number) {
    JobSpec family = families.get(number % families.size());
    return job(
        family,
        "service" + number,
        WorkloadKind.SERVICE,
        PriorityClass.NORMAL,
        3 + random.nextInt(7),
        fractionOfWorker(WORKER_FRACTIONS[random.nextInt(6)], 0));
  }

  /** Returns a job of one checkpointable batch task, for streams that never run out of jobs. */
  public static JobSpec batchTask(Resources size, String team, long runMillis) {
    return new JobSpec(
        "endless",
        team,
        WorkloadKind.BATCH,
        PriorityClass.NORMAL,
        1,
        size,
        PlacementConstraints.ANY,
        RerunPolicy.RERUN,
        LossPolicy.MOVE,
        true,
        runMillis,
        "run");
  }

  /** Returns a random family. */
  public JobSpec randomFamily() {
    return families.get(random.nextInt(families.size()));
  }

  /** Returns quotas by team, which sum to the capacity of the cell and have unequal weights. */
  public Map<String, Resources> quotas() {
    Map<String, Resources> quotas = new HashMap<>();
    Resources total = shape.totalCapacity();
    int sum = 0;
    for (int team = 0; team < shape.teams(); team++) {
      sum += TEAM_WEIGHTS[team % TEAM_WEIGHTS.length];
    }
    for (int team = 0; team < shape.teams(); team++) {
      long weight = TEAM_WEIGHTS[team % TEAM_WEIGHTS.length];
      quotas.put(
          "team" + team,
          new Resources(
              total.cpuMillis() * weight / sum,
              total.memoryMib() * weight / sum,
              (int) (total.accelerators() * weight / sum)));
    }
    return quotas;
  }

  private JobSpec newFamily(String team, String name) {
    int part = WORKER_FRACTIONS[random.nextInt(WORKER_FRACTIONS.length)];
    int accelerators =
        shape.accelerated() > 0 && random.nextInt(5) == 0 ? 1 << random.nextInt(3) : 0;
    boolean gang = random.nextInt(6) == 0;
    JobSpec shaped =
        new JobSpec(
            name,
            team,
            gang ? WorkloadKind.GANG : WorkloadKind.BATCH,
            random.nextInt(4) == 0 ? PriorityClass.LOW : PriorityClass.NORMAL,
            1,
            fractionOfWorker(accelerators > 0 ? 32 / accelerators : part, accelerators),
            constraints(accelerators),
            random.nextInt(10) == 0 ? RerunPolicy.AT_MOST_ONCE : RerunPolicy.RERUN,
            LossPolicy.MOVE,
            random.nextInt(3) == 0,
            0,
            "run");
    return shaped;
  }

  private PlacementConstraints constraints(int accelerators) {
    Optional<String> kind = accelerators > 0 ? Optional.of("gpu") : Optional.empty();
    Set<String> regions = random.nextInt(6) == 0 ? Set.of("region" + random.nextInt(3)) : Set.of();
    return new PlacementConstraints(regions, Set.of(), Set.of(), Map.of(), kind);
  }

  /** Returns a fraction of a worker, with its memory varied at random against its processors. */
  private Resources fractionOfWorker(int part, int accelerators) {
    long[] skews = {50, 75, 100, 100, 125};
    long skew = skews[random.nextInt(skews.length)];
    long cpu = Math.min(MAX_CPU_MILLIS / part, shape.capacity().cpuMillis());
    long memory = cpu * shape.capacity().memoryMib() / shape.capacity().cpuMillis();
    return new Resources(
        cpu, Math.min(memory * skew / 100, shape.capacity().memoryMib()), accelerators);
  }

  private int geometric(int mean) {
    int count = 0;
    while (count < 12 && random.nextInt(mean + 1) != 0) {
      count++;
    }
    return count;
  }

  private static JobSpec job(
      JobSpec family,
      String name,
      WorkloadKind kind,
      PriorityClass priority,
      int tasks,
      Resources size) {
    boolean service = kind == WorkloadKind.SERVICE;
    boolean plain = service || priority == PriorityClass.URGENT;
    return new JobSpec(
        name,
        family.team(),
        kind,
        priority,
        tasks,
        size,
        plain ? PlacementConstraints.ANY : family.constraints(),
        plain ? RerunPolicy.RERUN : family.rerun(),
        service ? LossPolicy.KEEP : LossPolicy.MOVE,
        !plain && family.checkpointable(),
        0,
        "run");
  }
}

package org.vanillacove.state.placement;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.vanillacove.state.api.PlacementConstraints;
import org.vanillacove.state.api.Resources;

/**
 * Index of the workers that satisfy a set of constraints, ordered by their free capacity.
 *
 * <p>Workers are linked into buckets by free accelerators, processor level and memory level. In a
 * bucket where every worker fits, a search visits only the first one, so the cost of a search
 * depends on the number of levels and not on the number of workers.
 */
class FreeCapacityIndex {
  /** Maximum number of free accelerators with a row of its own; workers with more share it. */
  private static final int MAX_ACCELERATORS = 16;

  /** Maximum number of workers that the first search examines in each bucket. */
  private static final int BOUNDARY_PROBES = 8;

  /** Marks the end of a list, and a worker that is in no bucket. */
  private static final int NONE = -1;

  /** Constraints that all workers in the index satisfy. */
  private final PlacementConstraints constraints;

  /** Buckets by free accelerators; the first row has the workers without any accelerators. */
  private final Row[] rows = new Row[MAX_ACCELERATORS + 2];

  /** Total capacities of all allowed workers, including those that accept no tasks now. */
  private final Multiset<Resources> capacities = HashMultiset.create();

  /** Workers that are in a bucket, by worker number; null for all other numbers. */
  private WorkerState[] members = new WorkerState[0];

  /** Next worker in the same bucket, by worker number. */
  private int[] next = new int[0];

  /** Previous worker in the same bucket, by worker number. */
  private int[] previous = new int[0];

  /** Bucket of each worker, or {@link #NONE}, by worker number. */
  private int[] buckets = new int[0];

  /** Number of workers that are in a bucket. */
  private int size;

  /** Whether the index was evicted from the worker table and is no longer updated. */
  private boolean retired;

  FreeCapacityIndex(PlacementConstraints constraints) {
    this.constraints = constraints;
  }

  /** Buckets of the workers with the same number of free accelerators. */
  private static final class Row {
    /** Number of the first worker in each bucket, or {@link #NONE}. */
    private final int[] heads = new int[SizeLevels.LEVELS * SizeLevels.LEVELS];

    /** Bit sets of the memory levels with workers, by processor level. */
    private final long[] memoryBits = new long[SizeLevels.LEVELS];

    /** Bit set of the processor levels with workers. */
    private long cpuBits;

    Row() {
      Arrays.fill(heads, NONE);
    }
  }

  final PlacementConstraints constraints() {
    return constraints;
  }

  final boolean isRetired() {
    return retired;
  }

  final void retire() {
    retired = true;
  }

  /** Returns the number of workers that accept tasks. */
  int size() {
    return size;
  }

  /** Moves a worker to the bucket of its free capacity, or out of all if it accepts no tasks. */
  void update(WorkerState worker) {
    ensureCapacity(worker.number());
    int bucket = worker.isSchedulable() ? bucketOf(worker) : NONE;
    int old = buckets[worker.number()];
    if (bucket == old) {
      return;
    }
    if (old != NONE) {
      unlink(worker.number(), old);
    }
    if (bucket != NONE) {
      link(worker, bucket);
    }
  }

  /** Adds a worker that satisfies the constraints. */
  void addWorker(WorkerState worker) {
    capacities.add(worker.spec().capacity());
    update(worker);
  }

  /** Removes a worker; must be called before its specification changes. */
  void removeWorker(WorkerState worker) {
    capacities.remove(worker.spec().capacity());
    if (worker.number() < buckets.length && buckets[worker.number()] != NONE) {
      unlink(worker.number(), buckets[worker.number()]);
    }
  }

  /** Returns whether {@code count} tasks would fit at the same time if all workers were empty. */
  final boolean canFitOnEmptyWorkers(Resources need, int count) {
    long fitting = 0;
    for (Multiset.Entry<Resources> entry : capacities.entrySet()) {
      fitting += FeasibilityCheck.copies(entry.getElement(), need, count) * entry.getCount();
    }
    return fitting >= count;
  }

  /**
   * Returns the fitting worker with the lowest {@link #leftoverScore}, compared over the first
   * fitting workers of the buckets; empty if the task fits on none.
   *
   * <p>Workers without accelerators are preferred, then those with the fewest free accelerators.
   */
  Optional<WorkerState> find(Resources need, Predicate<WorkerState> filter) {
    for (int r = firstRow(need); r < rows.length; r++) {
      if (rows[r] != null && rows[r].cpuBits != 0) {
        WorkerState best = best(rows[r], need, filter, BOUNDARY_PROBES);
        if (best == null) {
          best = best(rows[r], need, filter, Integer.MAX_VALUE);
        }
        if (best != null) {
          return Optional.of(best);
        }
      }
    }
    return Optional.empty();
  }

  /** Adds fitting workers to {@code found}, the fullest first, until it has {@code limit}. */
  void collect(Resources need, Predicate<WorkerState> filter, int limit, List<WorkerState> found) {
    for (int r = firstRow(need); r < rows.length && found.size() < limit; r++) {
      if (rows[r] != null) {
        collectRow(rows[r], need, filter, limit, found);
      }
    }
  }

  private static int firstRow(Resources need) {
    return need.accelerators() == 0 ? 0 : Math.min(need.accelerators(), MAX_ACCELERATORS) + 1;
  }

  private WorkerState best(Row row, Resources need, Predicate<WorkerState> filter, int probes) {
    int cpu = SizeLevels.cpu(need.cpuMillis());
    int memory = SizeLevels.memory(need.memoryMib());
    WorkerState best = null;
    double bestScore = Double.MAX_VALUE;
    for (long c = row.cpuBits & maskFrom(cpu); c != 0; c &= c - 1) {
      int i = Long.numberOfTrailingZeros(c);
      for (long m = row.memoryBits[i] & maskFrom(memory); m != 0; m &= m - 1) {
        int j = Long.numberOfTrailingZeros(m);
        WorkerState found = firstFit(row.heads[i * SizeLevels.LEVELS + j], need, filter, probes);
        if (found != null) {
          double score = leftoverScore(need, found);
          if (score < bestScore) {
            bestScore = score;
            best = found;
          }
          break;
        }
      }
    }
    return best;
  }

  private void collectRow(
      Row row, Resources need, Predicate<WorkerState> filter, int limit, List<WorkerState> found) {
    long memoryMask = maskFrom(SizeLevels.memory(need.memoryMib()));
    for (long c = row.cpuBits & maskFrom(SizeLevels.cpu(need.cpuMillis())); c != 0; c &= c - 1) {
      int i = Long.numberOfTrailingZeros(c);
      for (long m = row.memoryBits[i] & memoryMask; m != 0; m &= m - 1) {
        int j = Long.numberOfTrailingZeros(m);
        for (int w = row.heads[i * SizeLevels.LEVELS + j]; w != NONE; w = next[w]) {
          if (found.size() >= limit) {
            return;
          }
          if (need.fitsIn(members[w].placeable()) && filter.test(members[w])) {
            found.add(members[w]);
          }
        }
      }
    }
  }

  private WorkerState firstFit(
      int head, Resources need, Predicate<WorkerState> filter, int probes) {
    int left = probes;
    for (int w = head; w != NONE && left > 0; w = next[w]) {
      if (need.fitsIn(members[w].placeable()) && filter.test(members[w])) {
        return members[w];
      }
      left--;
    }
    return null;
  }

  /** Returns the dominant share left after a task, plus a penalty for unequal shares. */
  static double leftoverScore(Resources need, WorkerState worker) {
    Resources capacity = worker.spec().capacity();
    Resources free = worker.placeable();
    double cpu = (free.cpuMillis() - need.cpuMillis()) / (double) Math.max(1, capacity.cpuMillis());
    double memory =
        (free.memoryMib() - need.memoryMib()) / (double) Math.max(1, capacity.memoryMib());
    return Math.max(cpu, memory) + Math.abs(cpu - memory);
  }

  /** Returns the row of a worker: 0 without accelerators, else 1 plus the free accelerators. */
  static int rowOf(WorkerState worker) {
    return worker.spec().capacity().accelerators() == 0
        ? 0
        : 1 + Math.clamp(worker.placeable().accelerators(), 0, MAX_ACCELERATORS);
  }

  private static long maskFrom(int level) {
    return -1L << level;
  }

  private static int bucketOf(WorkerState worker) {
    Resources free = worker.placeable();
    return (rowOf(worker) * SizeLevels.LEVELS + SizeLevels.cpu(free.cpuMillis()))
            * SizeLevels.LEVELS
        + SizeLevels.memory(free.memoryMib());
  }

  private void link(WorkerState worker, int bucket) {
    int number = worker.number();
    int slot = bucket % (SizeLevels.LEVELS * SizeLevels.LEVELS);
    int r = bucket / (SizeLevels.LEVELS * SizeLevels.LEVELS);
    if (rows[r] == null) {
      rows[r] = new Row();
    }
    Row row = rows[r];
    members[number] = worker;
    buckets[number] = bucket;
    previous[number] = NONE;
    next[number] = row.heads[slot];
    if (next[number] != NONE) {
      previous[next[number]] = number;
    }
    row.heads[slot] = number;
    row.memoryBits[slot / SizeLevels.LEVELS] |= 1L << (slot % SizeLevels.LEVELS);
    row.cpuBits |= 1L << (slot / SizeLevels.LEVELS);
    size++;
  }

  private void unlink(int number, int bucket) {
    int slot = bucket % (SizeLevels.LEVELS * SizeLevels.LEVELS);
    Row row = rows[bucket / (SizeLevels.LEVELS * SizeLevels.LEVELS)];
    if (previous[number] == NONE) {
      row.heads[slot] = next[number];
    } else {
      next[previous[number]] = next[number];
    }
    if (next[number] != NONE) {
      previous[next[number]] = previous[number];
    }
    if (row.heads[slot] == NONE) {
      int cpu = slot / SizeLevels.LEVELS;
      row.memoryBits[cpu] &= ~(1L << (slot % SizeLevels.LEVELS));
      if (row.memoryBits[cpu] == 0) {
        row.cpuBits &= ~(1L << cpu);
      }
    }
    buckets[number] = NONE;
    members[number] = null;
    size--;
  }

  private void ensureCapacity(int number) {
    if (number < buckets.length) {
      return;
    }
    int old = buckets.length;
    int length = Math.max(number + 1, old * 2);
    members = Arrays.copyOf(members, length);
    next = Arrays.copyOf(next, length);
    previous = Arrays.copyOf(previous, length);
    buckets = Arrays.copyOf(buckets, length);
    Arrays.fill(buckets, old, length, NONE);
  }
}

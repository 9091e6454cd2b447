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
 * Workers that satisfy a set of constraints, ordered by what they have free.
 *
 * <p>Workers are linked into cells by free accelerators, processor level and memory level. A search
 * visits at most one worker of each cell that holds only fitting ones, so that its cost follows the
 * number of levels and not the number of workers.
 */
class FreeIndex {
  /** Accelerators on one worker that are told apart. */
  private static final int MAX_ACCELERATORS = 16;

  /** Workers looked at in a cell that also holds workers too small. */
  private static final int BOUNDARY_PROBES = 8;

  /** Marks the end of a list and a worker that is in no cell. */
  private static final int NONE = -1;

  /** Constraints that members satisfy. */
  private final PlacementConstraints constraints;

  /** Cells by free accelerators; the first row has workers that own none. */
  private final Row[] rows = new Row[MAX_ACCELERATORS + 2];

  /** Capacities of all allowed workers, whether they take tasks or not. */
  private final Multiset<Resources> capacities = HashMultiset.create();

  /** Members by worker number. */
  private WorkerState[] members = new WorkerState[0];

  /** Next member of the same cell by worker number. */
  private int[] next = new int[0];

  /** Previous member of the same cell by worker number. */
  private int[] previous = new int[0];

  /** Cell of a member by worker number. */
  private int[] cells = new int[0];

  /** Number of members that are in a cell. */
  private int size;

  /** Whether the index is no longer kept up to date. */
  private boolean retired;

  FreeIndex(PlacementConstraints constraints) {
    this.constraints = constraints;
  }

  /** Cells of one number of free accelerators. */
  private static final class Row {
    /** First worker of each cell. */
    private final int[] heads = new int[SizeLevels.LEVELS * SizeLevels.LEVELS];

    /** Memory levels in use, a bit each, by processor level. */
    private final long[] memoryBits = new long[SizeLevels.LEVELS];

    /** Processor levels in use, a bit each. */
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

  /** Returns the number of workers that take tasks. */
  int size() {
    return size;
  }

  /** Moves a worker to the cell of what it has free, or out if it takes no tasks. */
  void update(WorkerState worker) {
    ensureRoom(worker.number());
    int cell = worker.isOpen() ? cellOf(worker) : NONE;
    int old = cells[worker.number()];
    if (cell == old) {
      return;
    }
    if (old != NONE) {
      unlink(worker.number(), old);
    }
    if (cell != NONE) {
      link(worker, cell);
    }
  }

  /** Adds a worker that satisfies the constraints. */
  void join(WorkerState worker) {
    capacities.add(worker.spec().capacity());
    update(worker);
  }

  /** Takes a worker out, before its shape changes. */
  void leave(WorkerState worker) {
    capacities.remove(worker.spec().capacity());
    if (worker.number() < cells.length && cells[worker.number()] != NONE) {
      unlink(worker.number(), cells[worker.number()]);
    }
  }

  /** Returns whether empty workers hold {@code count} tasks side by side. */
  final boolean couldHold(Resources need, int count) {
    long room = 0;
    for (Multiset.Entry<Resources> entry : capacities.entrySet()) {
      room += FeasibilityCheck.copies(entry.getElement(), need, count) * entry.getCount();
    }
    return room >= count;
  }

  /**
   * Returns the worker that is left with the smallest dominant share, empty if none has room.
   *
   * <p>Workers without accelerators go before those with, and fewer free accelerators go first.
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

  /** Adds at most {@code limit} workers with room to {@code found}, the fullest first. */
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
    for (long c = row.cpuBits & from(cpu); c != 0; c &= c - 1) {
      int i = Long.numberOfTrailingZeros(c);
      for (long m = row.memoryBits[i] & from(memory); m != 0; m &= m - 1) {
        int j = Long.numberOfTrailingZeros(m);
        WorkerState found = firstFit(row.heads[i * SizeLevels.LEVELS + j], need, filter, probes);
        if (found != null) {
          double score = leftover(need, found);
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
    long memoryMask = from(SizeLevels.memory(need.memoryMib()));
    for (long c = row.cpuBits & from(SizeLevels.cpu(need.cpuMillis())); c != 0; c &= c - 1) {
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

  /** Returns the dominant share left after a task, with a charge for unequal shares. */
  static double leftover(Resources need, WorkerState worker) {
    Resources capacity = worker.spec().capacity();
    Resources free = worker.placeable();
    double cpu = (free.cpuMillis() - need.cpuMillis()) / (double) Math.max(1, capacity.cpuMillis());
    double memory =
        (free.memoryMib() - need.memoryMib()) / (double) Math.max(1, capacity.memoryMib());
    return Math.max(cpu, memory) + Math.abs(cpu - memory);
  }

  /** Returns the row of a worker: none for accelerators of its own, then by those free. */
  static int rowOf(WorkerState worker) {
    return worker.spec().capacity().accelerators() == 0
        ? 0
        : 1 + Math.clamp(worker.placeable().accelerators(), 0, MAX_ACCELERATORS);
  }

  private static long from(int level) {
    return -1L << level;
  }

  private static int cellOf(WorkerState worker) {
    Resources free = worker.placeable();
    return (rowOf(worker) * SizeLevels.LEVELS + SizeLevels.cpu(free.cpuMillis()))
            * SizeLevels.LEVELS
        + SizeLevels.memory(free.memoryMib());
  }

  private void link(WorkerState worker, int cell) {
    int number = worker.number();
    int slot = cell % (SizeLevels.LEVELS * SizeLevels.LEVELS);
    int r = cell / (SizeLevels.LEVELS * SizeLevels.LEVELS);
    if (rows[r] == null) {
      rows[r] = new Row();
    }
    Row row = rows[r];
    members[number] = worker;
    cells[number] = cell;
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

  private void unlink(int number, int cell) {
    int slot = cell % (SizeLevels.LEVELS * SizeLevels.LEVELS);
    Row row = rows[cell / (SizeLevels.LEVELS * SizeLevels.LEVELS)];
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
    cells[number] = NONE;
    members[number] = null;
    size--;
  }

  private void ensureRoom(int number) {
    if (number < cells.length) {
      return;
    }
    int old = cells.length;
    int length = Math.max(number + 1, old * 2);
    members = Arrays.copyOf(members, length);
    next = Arrays.copyOf(next, length);
    previous = Arrays.copyOf(previous, length);
    cells = Arrays.copyOf(cells, length);
    Arrays.fill(cells, old, length, NONE);
  }
}

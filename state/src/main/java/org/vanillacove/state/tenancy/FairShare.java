package org.vanillacove.state.tenancy;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.function.Function;
import org.vanillacove.state.api.Resources;

/**
 * Orders waiting work of equal urgency by weighted dominant resource fairness: the organisation
 * with the smallest dominant use for its weight is served next. Answers the load of one
 * organisation that sends many times its usual work beside many small ones: by age alone, the small
 * organisations would wait behind its whole backlog.
 *
 * <p>The order decides only among work that waits at the same time. Nothing is held back for an
 * organisation without waiting work, and no run is stopped.
 */
public final class FairShare {
  /**
   * Time without a start after which a waiting organisation is served before all others, so that
   * the wait of each has a bound.
   */
  private static final long MAX_WAIT_MILLIS = 10_000;

  /** Total capacity of the workers. */
  private final Resources capacity;

  /** Positive weights by organisation. */
  private final Map<String, Double> weights = new HashMap<>();

  /** Weight of work without an organisation that has a weight: the mean of all weights. */
  private final double meanWeight;

  /**
   * Creates a policy.
   *
   * @param capacity total capacity of the workers
   * @param weights weights by organisation; 0 for one that has none
   */
  public FairShare(Resources capacity, Map<String, Double> weights) {
    this.capacity = capacity;
    weights.forEach(
        (name, weight) -> {
          if (weight > 0) {
            this.weights.put(name, weight);
          }
        });
    meanWeight =
        this.weights.values().stream().mapToDouble(Double::doubleValue).average().orElse(1);
  }

  /**
   * Values of a waiting item and of organisations at the time at which they are asked for.
   *
   * @param organisation returns the organisation of an item
   * @param demand returns what an item uses if it is served
   * @param use returns what an organisation uses now
   * @param <T> type of the items
   */
  public record View<T>(
      Function<T, String> organisation,
      Function<T, Resources> demand,
      Function<String, Resources> use) {}

  /**
   * Waiting work of one organisation during an iteration.
   *
   * @param organisation name of the organisation
   * @param items items that have not been served, in their order
   * @param weightedUse dominant use for its weight when it was queued
   * @param weightedNext the same after its first item is served; decides between equal uses, so
   *     that a wide item doesn't take the room of many small ones
   * @param position position of the first item among all; decides last
   */
  private record Line<T>(
      String organisation,
      Queue<Placed<T>> items,
      double weightedUse,
      double weightedNext,
      int position) {}

  /**
   * An item with its position among all items of its class.
   *
   * @param item the item
   * @param position its position
   */
  private record Placed<T>(T item, int position) {}

  /** Returns the part of the capacity that {@code use} takes in its most used component. */
  public double dominantUse(Resources use) {
    double cpu = part(use.cpuMillis(), capacity.cpuMillis());
    double memory = part(use.memoryMib(), capacity.memoryMib());
    double accelerators = part(use.accelerators(), capacity.accelerators());
    return Math.max(cpu, Math.max(memory, accelerators));
  }

  /** Returns the dominant use of an organisation for its weight. */
  public double weightedUse(String organisation, Resources use) {
    return dominantUse(use) / weight(organisation);
  }

  private double weight(String organisation) {
    return weights.getOrDefault(organisation, meanWeight);
  }

  /**
   * Returns how much of the waiting work precedes new work of an organisation, at most: all of it,
   * or the organisation's own work and what the others are served meanwhile by their weights.
   *
   * @param backlogs waiting work by organisation
   * @param organisation organisation of the new work
   */
  public double precedingWork(Map<String, Double> backlogs, String organisation) {
    double total = 0;
    double active = weight(organisation);
    for (Map.Entry<String, Double> each : backlogs.entrySet()) {
      total += each.getValue();
      boolean competes = each.getValue() > 0 && !each.getKey().equals(organisation);
      active += competes ? weight(each.getKey()) : 0;
    }
    double own = backlogs.getOrDefault(organisation, 0.0);
    return Math.min(total, own * active / weight(organisation));
  }

  /**
   * Returns the items to serve before all others: the first one of each organisation that waited
   * too long.
   *
   * @param work items, the most urgent ones first
   * @param organisation returns the organisation of an item
   * @param waitedMillis returns for how long the organisation of an item has waited with it while
   *     nothing of the organisation was started
   */
  public static <T> List<T> overdue(
      List<T> work, Function<T, String> organisation, Function<T, Long> waitedMillis) {
    Map<String, T> first = new LinkedHashMap<>();
    for (T item : work) {
      if (waitedMillis.apply(item) > MAX_WAIT_MILLIS) {
        first.putIfAbsent(organisation.apply(item), item);
      }
    }
    return List.copyOf(first.values());
  }

  /**
   * Returns the items in the order in which they are to be served. Each is chosen by the use at the
   * time at which it is asked for, so that what was started for the items before counts.
   *
   * @param classes items of equal urgency, the most urgent class first
   * @param view values of the items
   */
  public <T> Iterable<T> order(List<List<T>> classes, View<T> view) {
    return () -> new FairIterator<>(classes.iterator(), view);
  }

  private static double part(long use, long capacity) {
    if (use <= 0) {
      return 0;
    }
    return capacity <= 0 ? 1 : (double) use / capacity;
  }

  /** Iterates over the classes and serves the organisations of each by their use. */
  private final class FairIterator<T> implements Iterator<T> {
    /** Classes that have not begun. */
    private final Iterator<List<T>> classes;

    /** Values of the items. */
    private final View<T> view;

    /** Organisations with items of the present class, except the one that was served last. */
    private final Queue<Line<T>> lines =
        new PriorityQueue<>(
            Comparator.<Line<T>>comparingDouble(Line::weightedUse)
                .thenComparingDouble(Line::weightedNext)
                .thenComparingInt(Line::position));

    /** Organisation that was served last; its use may have changed since. */
    private Line<T> served = new Line<>("", new ArrayDeque<>(), 0, 0, 0);

    /** Creates an iterator before the first class. */
    FairIterator(Iterator<List<T>> classes, View<T> view) {
      this.classes = classes;
      this.view = view;
    }

    @Override
    public boolean hasNext() {
      while (lines.isEmpty() && served.items().isEmpty() && classes.hasNext()) {
        begin(classes.next());
      }
      return !lines.isEmpty() || !served.items().isEmpty();
    }

    @Override
    public T next() {
      if (!hasNext()) {
        throw new NoSuchElementException();
      }
      if (!served.items().isEmpty()) {
        queue(served.organisation(), served.items());
      }
      served = lines.remove();
      return served.items().remove().item();
    }

    private void begin(List<T> items) {
      Map<String, Queue<Placed<T>>> byOrganisation = new LinkedHashMap<>();
      for (int i = 0; i < items.size(); i++) {
        byOrganisation
            .computeIfAbsent(view.organisation().apply(items.get(i)), name -> new ArrayDeque<>())
            .add(new Placed<>(items.get(i), i));
      }
      byOrganisation.forEach(this::queue);
    }

    private void queue(String name, Queue<Placed<T>> items) {
      Resources use = view.use().apply(name);
      Placed<T> first = items.element();
      lines.add(
          new Line<>(
              name,
              items,
              weightedUse(name, use),
              weightedUse(name, use.plus(view.demand().apply(first.item()))),
              first.position()));
    }
  }
}

package org.vanillacove.standin.memory;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import org.vanillacove.protocol.timer.TimerService;

/** A timer service whose time is advanced explicitly by the caller; thread-safe. */
public final class ManualTimerService implements TimerService {
  /** Pending timers by due time, then by order of creation. */
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          Comparator.comparingLong((Timer timer) -> timer.dueMillis)
              .thenComparingLong(timer -> timer.sequence));

  /** Wall time at monotonic time zero, in milliseconds. */
  private long wallOffsetMillis;

  /** Current monotonic time in milliseconds. */
  private long nowMillis;

  /** Number of timers created so far. */
  private long created;

  /** Creates a service whose wall time starts at {@code wallMillis}. */
  public ManualTimerService(long wallMillis) {
    this.wallOffsetMillis = wallMillis;
  }

  @Override
  public synchronized long monotonicMillis() {
    return nowMillis;
  }

  @Override
  public synchronized long wallMillis() {
    return wallOffsetMillis + nowMillis;
  }

  @Override
  public Subscription after(Duration delay, Runnable action) {
    return add(delay.toMillis(), 0, action);
  }

  @Override
  public Subscription every(Duration period, Runnable action) {
    return add(period.toMillis(), Math.max(1, period.toMillis()), action);
  }

  /** Advances time by {@code millis} and runs every timer that becomes due, in order. */
  public void advance(long millis) {
    long end = monotonicMillis() + millis;
    Optional<Timer> due = takeDue(end);
    while (due.isPresent()) {
      due.get().action.run();
      due = takeDue(end);
    }
    synchronized (this) {
      nowMillis = end;
    }
  }

  /** Advances time without running timers, as a process observes after it was suspended. */
  public synchronized void advanceWithoutTimers(long millis) {
    nowMillis += millis;
  }

  /**
   * Moves the wall clock alone: forwards as a process observes after its machine was suspended, or
   * backwards as after a correction of the clock.
   */
  public synchronized void stepWallClock(long millis) {
    wallOffsetMillis += millis;
  }

  private synchronized Subscription add(long delayMillis, long periodMillis, Runnable action) {
    Timer timer = new Timer(nowMillis + delayMillis, created++, periodMillis, action);
    timers.add(timer);
    return () -> cancel(timer);
  }

  private synchronized void cancel(Timer timer) {
    timer.cancelled = true;
    timers.remove(timer);
  }

  private synchronized Optional<Timer> takeDue(long endMillis) {
    Timer first = timers.peek();
    if (first == null || first.dueMillis > endMillis) {
      return Optional.empty();
    }
    timers.poll();
    nowMillis = Math.max(nowMillis, first.dueMillis);
    if (first.periodMillis > 0) {
      Timer next =
          new Timer(first.dueMillis + first.periodMillis, created++, first.periodMillis, () -> {});
      first.dueMillis = next.dueMillis;
      first.sequence = next.sequence;
      timers.add(first);
    }
    return Optional.of(first);
  }

  /** A pending timer. */
  private static final class Timer {
    /** Period in milliseconds, zero for a timer that runs once. */
    private final long periodMillis;

    /** Runs the caller's action unless the timer was cancelled. */
    private final Runnable action;

    /** Monotonic time at which the timer is due, in milliseconds. */
    private long dueMillis;

    /** Order of scheduling, by which timers with equal due times run. */
    private long sequence;

    /** Whether the timer was cancelled, perhaps while it was removed from the queue to run. */
    private boolean cancelled;

    Timer(long dueMillis, long sequence, long periodMillis, Runnable action) {
      this.dueMillis = dueMillis;
      this.sequence = sequence;
      this.periodMillis = periodMillis;
      this.action =
          () -> {
            if (!cancelled) {
              action.run();
            }
          };
    }
  }
}

package org.vanillacove.cli;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import org.vanillacove.protocol.timer.TimerService;

/** Runs timers immediately in the order of their due times; tests advance the wall clock. */
final class VirtualTimerService implements TimerService {
  private final PriorityQueue<Due> queue =
      new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::number));

  private boolean draining;
  private long now;
  private long created;
  private long wall;

  VirtualTimerService(long wallMillis) {
    this.wall = wallMillis;
  }

  synchronized void moveWall(Duration duration) {
    wall += duration.toMillis();
  }

  @Override
  public synchronized long monotonicMillis() {
    return now;
  }

  @Override
  public synchronized long wallMillis() {
    return wall;
  }

  @Override
  public Subscription after(Duration delay, Runnable action) {
    Due due = add(delay, action);
    drain();
    return () -> remove(due);
  }

  @Override
  public Subscription every(Duration period, Runnable action) {
    throw new UnsupportedOperationException("no periodic timers in virtual time");
  }

  private synchronized Due add(Duration delay, Runnable action) {
    Due due = new Due(now + delay.toMillis(), created++, action);
    queue.add(due);
    return due;
  }

  private synchronized void remove(Due due) {
    queue.remove(due);
  }

  private void drain() {
    synchronized (this) {
      if (draining) {
        return;
      }
      draining = true;
    }
    Optional<Due> due = next();
    while (due.isPresent()) {
      due.get().action().run();
      due = next();
    }
  }

  private synchronized Optional<Due> next() {
    Due due = queue.poll();
    if (due == null) {
      draining = false;
      return Optional.empty();
    }
    now = Math.max(now, due.at());
    return Optional.of(due);
  }

  /** A scheduled timer. */
  private record Due(long at, long number, Runnable action) {}
}

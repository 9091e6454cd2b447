package org.vanillacove.coordination.stream;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/**
 * Runs events one after the other under one lock, on the threads that bring them.
 *
 * <p>An event that arrives while another runs is left to the thread that holds the lock, so no
 * thread ever waits for a second shard while it holds one.
 */
public final class EventShard implements Executor {
  /** Logger. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Events that wait. */
  private final ConcurrentLinkedQueue<Runnable> events = new ConcurrentLinkedQueue<>();

  /** Guards the state of the part that owns the shard. */
  private final ReentrantLock lock = new ReentrantLock();

  /** Whether later events are dropped. */
  private volatile boolean closed;

  /** Creates a shard without events. */
  public EventShard() {}

  @Override
  public void execute(Runnable event) {
    if (!closed) {
      events.add(event);
      drain();
    }
  }

  /** Returns what {@code reader} reads under the lock; not to be called from an event. */
  public <T> T read(Supplier<T> reader) {
    lock.lock();
    try {
      return reader.get();
    } finally {
      lock.unlock();
      drain();
    }
  }

  /** Drops all events that wait or arrive later. */
  public void close() {
    closed = true;
    events.clear();
  }

  private void drain() {
    while (!events.isEmpty() && !lock.isHeldByCurrentThread() && lock.tryLock()) {
      try {
        runAll();
      } finally {
        lock.unlock();
      }
    }
  }

  private void runAll() {
    Runnable event = events.poll();
    while (event != null && !closed) {
      try {
        event.run();
      } catch (RuntimeException e) {
        LOGGER.atSevere().withCause(e).log("cell: an event broke an invariant.");
        throw e;
      }
      event = events.poll();
    }
  }
}

package org.vanillacove.coordination.stream;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/**
 * Executor that runs events one at a time under a lock, on the threads that submit them.
 *
 * <p>An event submitted while another runs is queued and run by the thread that holds the lock. So
 * no thread ever waits for a second shard while it holds one.
 */
public final class SerialExecutor implements Executor {
  /** Logger. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Events that have not run yet. */
  private final ConcurrentLinkedQueue<Runnable> events = new ConcurrentLinkedQueue<>();

  /** Guards the state of the owner of the shard. */
  private final ReentrantLock lock = new ReentrantLock();

  /** Whether the shard is closed and drops all events. */
  private volatile boolean closed;

  /** Creates a shard without events. */
  public SerialExecutor() {}

  @Override
  public void execute(Runnable event) {
    if (!closed) {
      events.add(event);
      drain();
    }
  }

  /**
   * Runs {@code reader} under the lock and returns its result; must not be called from an event.
   */
  public <T> T read(Supplier<T> reader) {
    lock.lock();
    try {
      return reader.get();
    } finally {
      lock.unlock();
      drain();
    }
  }

  /** Drops all pending and later events. */
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
        LOGGER.atSevere().withCause(e).log(
            "cell: event handler failed with an unexpected exception.");
        throw e;
      }
      event = events.poll();
    }
  }
}

package org.vanillacove.coordination.timer;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.vanillacove.protocol.timer.TimerService;

/**
 * Timer service on the system clocks. One thread waits for due times; each run has its own virtual
 * thread, so that a slow subscriber doesn't delay others. Runs of a periodic timer never overlap: a
 * tick is skipped if the previous run hasn't ended, and a paused process doesn't catch up on missed
 * ticks. Thread-safe.
 */
public final class ScheduledTimerService implements TimerService, AutoCloseable {
  /** Log of subscribers that fail and of timers dropped after close. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Source of wall time; tests set a fixed one. */
  private final InstantSource wallClock;

  /** Waits for due times on one thread; runs actions only by starting virtual threads. */
  private final ScheduledThreadPoolExecutor executor;

  /** Number of ticks that were skipped because the previous run hadn't ended. */
  private final AtomicLong skippedTicks = new AtomicLong();

  /** Creates a service on the system's wall clock. */
  public ScheduledTimerService() {
    this(InstantSource.system());
  }

  /** Creates a service whose wall time comes from {@code wallClock}. */
  public ScheduledTimerService(InstantSource wallClock) {
    this.wallClock = wallClock;
    executor =
        new ScheduledThreadPoolExecutor(
            1, Thread.ofPlatform().daemon().name("timer-service").factory());
    executor.setRemoveOnCancelPolicy(true);
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  @Override
  public long monotonicMillis() {
    return System.nanoTime() / NANOS_PER_MILLI;
  }

  @Override
  public long wallMillis() {
    return wallClock.millis();
  }

  @Override
  public Subscription after(Duration delay, Runnable action) {
    Timer timer = new Timer(action);
    return schedule(
        () ->
            executor.schedule(timer::startRun, Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS),
        timer);
  }

  @Override
  public Subscription every(Duration period, Runnable action) {
    Timer timer = new Timer(action);
    long nanos = Math.max(NANOS_PER_MILLI, period.toNanos());
    return schedule(
        () -> executor.scheduleWithFixedDelay(timer::startRun, nanos, nanos, TimeUnit.NANOSECONDS),
        timer);
  }

  /** Returns how many ticks of periodic timers were skipped because a run hadn't ended. */
  public long skippedTicks() {
    return skippedTicks.get();
  }

  /** Drops all pending timers; runs that have begun are not stopped. */
  @Override
  public void close() {
    executor.shutdownNow();
  }

  private static Subscription schedule(Scheduling scheduling, Timer timer) {
    try {
      ScheduledFuture<?> future = scheduling.schedule();
      return () -> {
        timer.cancelled = true;
        future.cancel(false);
      };
    } catch (RejectedExecutionException e) {
      LOG.atFine().log("timer: service is closed, timer dropped");
      return () -> {};
    }
  }

  /** Submits a timer to the executor, once or periodically. */
  @FunctionalInterface
  private interface Scheduling {
    /** Returns the future that cancels the timer. */
    ScheduledFuture<?> schedule();
  }

  /** A timer and its current run. */
  private final class Timer {
    /** Action of the subscriber. */
    private final Runnable action;

    /** Whether a run is in progress. */
    private final AtomicBoolean running = new AtomicBoolean();

    /** Set on cancellation; a run that hasn't begun the action then skips it. */
    private volatile boolean cancelled;

    Timer(Runnable action) {
      this.action = action;
    }

    private void startRun() {
      if (running.compareAndSet(false, true)) {
        Thread.ofVirtual().name("timer-run").start(this::run);
      } else {
        skippedTicks.incrementAndGet();
      }
    }

    private void run() {
      try {
        if (!cancelled) {
          action.run();
        }
      } catch (RuntimeException e) {
        LOG.atSevere().withCause(e).log("timer: subscriber failed");
      } finally {
        running.set(false);
      }
    }
  }
}

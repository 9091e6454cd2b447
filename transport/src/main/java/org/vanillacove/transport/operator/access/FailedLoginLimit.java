package org.vanillacove.transport.operator.access;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.concurrent.locks.ReentrantLock;
import org.vanillacove.protocol.timer.TimerService;

/** Limits the rate of failed logins from each address. Thread-safe. */
public final class FailedLoginLimit {
  /** Number of failed logins within a window after which an address is blocked. */
  public static final int MAX_FAILURES = 10;

  /** Length of a window, in milliseconds; a block lasts until the window ends. */
  public static final long WINDOW_MILLIS = 60_000;

  /** Maximum number of addresses to track, which bounds memory. */
  private static final int MAX_ADDRESSES = 10_000;

  /** Monotonic clock. */
  private final TimerService timer;

  /** Guards reading and updating the window of an address. */
  private final ReentrantLock lock = new ReentrantLock();

  /** Newest window of each address with a failed login. */
  private final Cache<String, Window> windows =
      CacheBuilder.newBuilder().maximumSize(MAX_ADDRESSES).build();

  /** Creates a limit without recorded failures. */
  public FailedLoginLimit(TimerService timer) {
    this.timer = timer;
  }

  /** Returns whether logins from {@code address} are rejected without checking the token. */
  public boolean isBlocked(String address) {
    lock.lock();
    try {
      Window window = windows.getIfPresent(address);
      return window != null && isCurrent(window) && window.failures >= MAX_FAILURES;
    } finally {
      lock.unlock();
    }
  }

  /** Records a failed login from {@code address}. */
  public void recordFailure(String address) {
    lock.lock();
    try {
      Window window = windows.getIfPresent(address);
      if (window == null || !isCurrent(window)) {
        windows.put(address, new Window(timer.monotonicMillis(), 1));
      } else {
        windows.put(address, new Window(window.startMillis, window.failures + 1));
      }
    } finally {
      lock.unlock();
    }
  }

  private boolean isCurrent(Window window) {
    return timer.monotonicMillis() - window.startMillis < WINDOW_MILLIS;
  }

  /**
   * Failed logins from one address within a window.
   *
   * @param startMillis monotonic time of the first failure, in milliseconds
   * @param failures number of failures since then
   */
  private record Window(long startMillis, int failures) {}
}

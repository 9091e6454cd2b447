package org.vanillacove.transport.operator.access;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.concurrent.locks.ReentrantLock;
import org.vanillacove.protocol.timer.TimerService;

/** Bounds failed logins by address; thread-safe. */
public final class FailedLoginLimit {
  /** Failed logins of one address within a window before it is blocked. */
  public static final int MAX_FAILURES = 10;

  /** Length of a window and of a block in milliseconds. */
  public static final long WINDOW_MILLIS = 60_000;

  /** Most addresses that are remembered. */
  private static final int MAX_ADDRESSES = 10_000;

  /** Source of time. */
  private final TimerService timer;

  /** Guards the windows. */
  private final ReentrantLock lock = new ReentrantLock();

  /** Windows by address. */
  private final Cache<String, Window> windows =
      CacheBuilder.newBuilder().maximumSize(MAX_ADDRESSES).build();

  /** Creates a limit that no address has touched. */
  public FailedLoginLimit(TimerService timer) {
    this.timer = timer;
  }

  /** Returns whether logins from {@code address} are refused unseen. */
  public boolean isBlocked(String address) {
    lock.lock();
    try {
      Window window = windows.getIfPresent(address);
      return window != null && isOpen(window) && window.failures >= MAX_FAILURES;
    } finally {
      lock.unlock();
    }
  }

  /** Counts a failed login. */
  public void failed(String address) {
    lock.lock();
    try {
      Window window = windows.getIfPresent(address);
      if (window == null || !isOpen(window)) {
        windows.put(address, new Window(timer.monotonicMillis(), 1));
      } else {
        windows.put(address, new Window(window.startMillis, window.failures + 1));
      }
    } finally {
      lock.unlock();
    }
  }

  private boolean isOpen(Window window) {
    return timer.monotonicMillis() - window.startMillis < WINDOW_MILLIS;
  }

  /**
   * Failed logins of one address.
   *
   * @param startMillis monotonic time of the first one in milliseconds
   * @param failures how many there were
   */
  private record Window(long startMillis, int failures) {}
}

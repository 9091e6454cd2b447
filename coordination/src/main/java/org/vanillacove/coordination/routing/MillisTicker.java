package org.vanillacove.coordination.routing;

import com.google.common.base.Ticker;
import java.util.concurrent.TimeUnit;
import org.vanillacove.protocol.timer.TimerService;

/** Adapts a timer service to the ticker of a cache. */
final class MillisTicker extends Ticker {
  /** Provides monotonic time in milliseconds. */
  private final TimerService timer;

  MillisTicker(TimerService timer) {
    this.timer = timer;
  }

  @Override
  public long read() {
    return TimeUnit.MILLISECONDS.toNanos(timer.monotonicMillis());
  }
}

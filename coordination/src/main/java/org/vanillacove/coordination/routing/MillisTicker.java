package org.vanillacove.coordination.routing;

import com.google.common.base.Ticker;
import java.util.concurrent.TimeUnit;
import org.vanillacove.protocol.timer.TimerService;

/** Gives a cache the time of a timer service. */
final class MillisTicker extends Ticker {
  /** Source of time. */
  private final TimerService timer;

  MillisTicker(TimerService timer) {
    this.timer = timer;
  }

  @Override
  public long read() {
    return TimeUnit.MILLISECONDS.toNanos(timer.monotonicMillis());
  }
}

package org.vanillacove.review3;

import java.io.IOException;

/**
 * A task takes eight times as long as its estimate says. Its percentage rises all the while, by one
 * percent each 3.2 s. Only one runner may run it. From {@code finish_s} after the last job on, the
 * job must not be without a run for 3 s.
 */
public final class LongTask {
  private static final long ESTIMATE_MILLIS = 40_000;
  private static final int FACTOR = 8;
  private static final long FINISH_MILLIS = 14_000;
  private static final long WATCH_MILLIS = 45_000;
  private static final long MAX_IDLE_MILLIS = 3_000;
  private static final long SAMPLE_MILLIS = 50;
  private static final int RUNNERS = 8;
  private static final String JOB = "00000000000000c1";

  private LongTask() {}

  /** Runs the case. */
  public static void main(String[] args) {
    Case.main(args, LongTask::run);
  }

  private static int run(Cell cell, boolean trouble) throws IOException, InterruptedException {
    for (int i = 1; i < RUNNERS; i++) {
      cell.startRunner(
          "runner-" + i, new Runner.Profile(Cell.SERVICE, "a", "r1-1", 64_000, 262_144), 0);
    }
    Runner only =
        cell.startRunner(
            "runner-8", new Runner.Profile(Cell.SERVICE, "b", "r1-1", 64_000, 262_144), 0);
    long millis = trouble ? FACTOR * ESTIMATE_MILLIS : ESTIMATE_MILLIS;
    if (!cell.startHosts(3)
        || !cell.submit(0, JOB, Cell.job("b", 1_000, millis, ESTIMATE_MILLIS))) {
      return Case.NOT_RUN;
    }
    Thread.sleep(FINISH_MILLIS);
    long idle = 0;
    long longest = 0;
    for (long waited = 0; waited < WATCH_MILLIS; waited += SAMPLE_MILLIS) {
      idle = only.runs() == 0 ? idle + SAMPLE_MILLIS : 0;
      longest = Math.max(longest, idle);
      if (waited % 1_000 == 0 && cell.awaitCompleted(1, JOB, 1)) {
        break;
      }
      Thread.sleep(SAMPLE_MILLIS);
    }
    cell.note("longest time without a run ms=" + longest);
    return longest < MAX_IDLE_MILLIS ? Case.HELD : Case.BROKEN;
  }
}

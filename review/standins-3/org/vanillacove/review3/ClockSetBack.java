package org.vanillacove.review3;

import java.io.IOException;

/**
 * A runner is added. The time of day of its machine is ahead by 2 s while it starts, and then set
 * back. The runner crashes and starts again under its id, at another port, before the time of day
 * has caught up. A job that only this runner may run has to be run.
 */
public final class ClockSetBack {
  private static final long STEP_MILLIS = 2_000;

  /** Time after the last job at which all jobs must have something running: finish_s and 3 s. */
  private static final long FINISH_MILLIS = 17_000;

  private static final int RUNNERS = 8;
  private static final String RUNNER = "runner-8";
  private static final Runner.Profile PROFILE =
      new Runner.Profile(Cell.SERVICE, "b", "r1-1", 64_000, 262_144);
  private static final String FIRST = "00000000000000b1";
  private static final String SECOND = "00000000000000b2";

  private ClockSetBack() {}

  /** Runs the case. */
  public static void main(String[] args) {
    Case.main(args, ClockSetBack::run);
  }

  private static int run(Cell cell, boolean trouble) throws IOException, InterruptedException {
    for (int i = 1; i < RUNNERS; i++) {
      cell.startRunner(
          "runner-" + i, new Runner.Profile(Cell.SERVICE, "a", "r1-1", 64_000, 262_144), 0);
    }
    if (!cell.startHosts(3)
        || !cell.submit(0, FIRST, Cell.job("a", 1_000, 500))
        || !cell.awaitCompleted(1, FIRST, 20_000)) {
      return Case.NOT_RUN;
    }
    Runner added = cell.startRunner(RUNNER, PROFILE, trouble ? STEP_MILLIS : 0);
    Thread.sleep(1_000);
    added.crash();
    Thread.sleep(500);
    cell.startRunner(RUNNER, PROFILE, 0);
    Thread.sleep(3_000);
    if (!cell.submit(2, SECOND, Cell.job("b", 1_000, 500))) {
      return Case.NOT_RUN;
    }
    return cell.awaitCompleted(1, SECOND, FINISH_MILLIS) ? Case.HELD : Case.BROKEN;
  }
}

package org.vanillacove.review3;

import java.io.IOException;

/**
 * An entry host that does not lead freezes for 4 s. A client hands a job in there, leaves before
 * its deadline, as no answer comes, and cancels the job at another host. The frozen host wakes. No
 * task of the job may start later than {@code cancel_ms} after the cancelling was acknowledged.
 */
public final class CancelBeforeAnswer {
  private static final long FREEZE_MILLIS = 4_000;
  private static final long PATIENCE_MILLIS = 300;
  private static final long CANCEL_MILLIS = 3_000;
  private static final long WATCH_MILLIS = 8_000;
  private static final int RUNNERS = 8;
  private static final String FIRST = "00000000000000d1";
  private static final String SECOND = "00000000000000d2";

  private CancelBeforeAnswer() {}

  /** Runs the case. */
  public static void main(String[] args) {
    Case.main(args, CancelBeforeAnswer::run);
  }

  private static int run(Cell cell, boolean trouble) throws IOException, InterruptedException {
    for (int i = 1; i <= RUNNERS; i++) {
      cell.startRunner(
          "runner-" + i, new Runner.Profile(Cell.SERVICE, "a", "r1-1", 64_000, 262_144), 0);
    }
    if (!cell.startHosts(3)
        || !cell.submit(0, FIRST, Cell.job("a", 1_000, 500))
        || !cell.awaitCompleted(1, FIRST, 20_000)) {
      return Case.NOT_RUN;
    }
    int leader = cell.hosts().leader();
    int frozen = (leader + 1) % 3;
    int other = (leader + 2) % 3;
    long start = System.nanoTime();
    if (trouble) {
      cell.hosts().signal(frozen, "STOP");
    }
    cell.client()
        .call(
            "POST",
            cell.front(frozen),
            Cell.PREFIX + SECOND,
            Cell.job("a", 1_000, 10_000),
            PATIENCE_MILLIS);
    int status = 0;
    for (int i = 0; i < 3 && status / 100 != 2 && status != 410; i++) {
      status = cell.client().call("DELETE", cell.front(other), Cell.PREFIX + SECOND, "").status();
    }
    if (status / 100 != 2 && status != 410) {
      return Case.NOT_RUN;
    }
    long acknowledged = System.nanoTime();
    if (trouble) {
      Thread.sleep(FREEZE_MILLIS - (System.nanoTime() - start) / 1_000_000);
      cell.hosts().signal(frozen, "CONT");
    }
    Thread.sleep(WATCH_MILLIS);
    cell.client().call("GET", cell.front(other), Cell.PREFIX + SECOND, "");
    long last = cell.lastStartNanos(SECOND + ".");
    long millis = (last - acknowledged) / 1_000_000;
    cell.note("last start after the acknowledgement ms=" + (last == 0 ? "none" : millis));
    return last != 0 && millis > CANCEL_MILLIS ? Case.BROKEN : Case.HELD;
  }
}

package org.vanillacove.review3;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Another writer leaves one entry under the id of a runner. The entry names a service that is not
 * configured, an address at which nothing listens, and a later start than the runner's. The runner
 * replaces it with its own entry at its next heartbeat. A job that only this runner may run has to
 * be run.
 */
public final class LaterBornEntry {
  /** Time after the last job at which all jobs must have something running: finish_s and 3 s. */
  private static final long FINISH_MILLIS = 17_000;

  private static final int RUNNERS = 8;
  private static final String RUNNER = "runner-8";
  private static final String FIRST = "00000000000000a1";
  private static final String SECOND = "00000000000000a2";

  private LaterBornEntry() {}

  /** Runs the case. */
  public static void main(String[] args) {
    Case.main(args, LaterBornEntry::run);
  }

  private static int run(Cell cell, boolean trouble) throws IOException, InterruptedException {
    for (int i = 1; i < RUNNERS; i++) {
      cell.startRunner(
          "runner-" + i, new Runner.Profile(Cell.SERVICE, "a", "r1-1", 64_000, 262_144), 0);
    }
    Runner only =
        cell.startRunner(RUNNER, new Runner.Profile(Cell.SERVICE, "b", "r1-1", 64_000, 262_144), 0);
    if (!cell.startHosts(3)
        || !cell.submit(0, FIRST, Cell.job("b", 1_000, 500))
        || !cell.awaitCompleted(1, FIRST, 20_000)) {
      return Case.NOT_RUN;
    }
    if (trouble) {
      // The entry stands until the runner's next heartbeat.
      only.awaitBeat();
      ObjectNode entry = only.entry();
      entry.put("service", "staging-planner").put("address", "127.0.0.1:" + closedPort());
      entry.put("born", entry.path("born").asLong() + 5_000);
      cell.putEntry(RUNNER, entry);
    }
    // Two heartbeats: the runner's own entry is in place again.
    Thread.sleep(3_000);
    if (!cell.submit(2, SECOND, Cell.job("b", 1_000, 500))) {
      return Case.NOT_RUN;
    }
    return cell.awaitCompleted(1, SECOND, FINISH_MILLIS) ? Case.HELD : Case.BROKEN;
  }

  private static int closedPort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}

package org.vanillacove.review3;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Jobs of 150 small tasks come, 28 at once. The runners can hold all these tasks at once, but the
 * hosts have fewer descriptors. Each job has to be run to its end.
 */
public final class ManyStarts {
  private static final int RUNNERS = 33;
  private static final int MAX_DESCRIPTORS = 2_212;
  private static final int JOBS = 28;
  private static final int COUNT = 150;
  private static final int CONTROL_COUNT = 15;
  private static final int MAX_ROUNDS = 40;
  private static final long MAX_MILLIS = 75_000;
  private static final long MAX_COMPLETION_MILLIS = 22_000;

  /** Time after which jobs are asked for, and time for which a job may have nothing running. */
  private static final long FINISH_MILLIS = 14_000 + 3_000;

  private ManyStarts() {}

  /** Runs the case. */
  public static void main(String[] args) {
    Case.main(args, ManyStarts::run);
  }

  private static int run(Cell cell, boolean trouble) throws IOException, InterruptedException {
    for (int i = 1; i <= RUNNERS; i++) {
      cell.startRunner(
          "runner-" + i,
          new Runner.Profile(Cell.SERVICE, "a", "r1-" + (i / 8), 64_000, 131_072),
          0);
    }
    if (!cell.startHosts(3, MAX_DESCRIPTORS)) {
      return Case.NOT_RUN;
    }
    String job =
        "{\"spec\":\"300\",\"steps\":[{\"count\":" + (trouble ? COUNT : CONTROL_COUNT)
            + ",\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":300}]}";
    long start = System.nanoTime();
    int status = Case.HELD;
    for (int i = 0; i < MAX_ROUNDS && (System.nanoTime() - start) / 1_000_000 < MAX_MILLIS; i++) {
      Optional<String> left = leftOver(cell, submitAtOnce(cell, i, job));
      if (left.isPresent()) {
        long quiet = cell.millisSinceLastStart(left.get());
        cell.note("job " + left.get() + " isn't completed; ms since its last start=" + quiet);
        status = quiet >= FINISH_MILLIS && cell.runs() == 0 ? Case.BROKEN : Case.NOT_RUN;
        break;
      }
    }
    cell.hosts().noteLines("Exception");
    return status;
  }

  /** Hands the jobs of a round in at the same time; returns those that were accepted. */
  private static Collection<String> submitAtOnce(Cell cell, int round, String job)
      throws InterruptedException {
    Collection<String> accepted = new ConcurrentLinkedQueue<>();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      String id = id(round, i);
      int host = i % 3;
      clients.add(
          Thread.ofVirtual()
              .start(
                  () -> {
                    try {
                      if (cell.submit(host, id, job)) {
                        accepted.add(id);
                      }
                    } catch (InterruptedException e) {
                      Thread.currentThread().interrupt();
                    }
                  }));
    }
    for (Thread client : clients) {
      client.join();
    }
    return accepted;
  }

  /** Returns an accepted job that isn't completed in time. */
  private static Optional<String> leftOver(Cell cell, Collection<String> accepted)
      throws InterruptedException {
    long until = System.nanoTime() + MAX_COMPLETION_MILLIS * 1_000_000;
    for (String id : accepted) {
      long left = Math.max(1, (until - System.nanoTime()) / 1_000_000);
      if (!cell.awaitCompleted(1, id, left)) {
        return Optional.of(id);
      }
    }
    return Optional.empty();
  }

  private static String id(int round, int job) {
    return String.format(Locale.ROOT, "%016x", 0xa000 + round * JOBS + job);
  }
}

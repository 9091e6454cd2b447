package org.vanillacove.bench.faults;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.LongStream;
import org.vanillacove.bench.Bench;
import org.vanillacove.coordination.scheduling.SafetyRules;

/** Runs random schedules of faults and counts those that violate an invariant. */
public final class FaultsBench implements Bench {
  /** Number of schedules run with all safety rules. */
  private static final int SCHEDULES = 10_000;

  /** Maximum number of schedules run to find a violation with one safety rule disabled. */
  private static final int MAX_MUTANT_SCHEDULES = 4_000;

  /** Logger of the code under test; a strong reference, so that its level is not lost. */
  private static final Logger COORDINATION_LOGGER =
      Logger.getLogger("org.vanillacove.coordination");

  /** Creates the bench. */
  public FaultsBench() {}

  @Override
  public Map<String, Object> run(long seed) {
    COORDINATION_LOGGER.setLevel(Level.OFF);
    long first = seed * 1_000_000;
    long begun = System.nanoTime();
    AtomicLong done = new AtomicLong();
    AtomicLong violations = new AtomicLong();
    LongStream.range(first, first + SCHEDULES)
        .parallel()
        .forEach(
            number -> {
              Optional<String> violation = new FaultSchedule(number, SafetyRules.ALL).run();
              if (violation.isPresent() && violations.incrementAndGet() <= 10) {
                System.err.println("schedule " + number + ": " + violation.get());
              }
              if (done.incrementAndGet() % 1_000 == 0) {
                System.err.println(done.get() + " schedules, " + violations.get() + " violations");
              }
            });
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("schedules", done.get());
    figures.put("violations", violations.get());
    figures.put("seconds", (System.nanoTime() - begun) / 1_000_000_000.0);
    figures.put("without_fencing", schedulesUntil(first, new SafetyRules(false, true, true)));
    figures.put(
        "without_lapse_certainty", schedulesUntil(first, new SafetyRules(true, false, true)));
    figures.put("without_write_ahead", schedulesUntil(first, new SafetyRules(true, true, false)));
    return figures;
  }

  /** Returns the number of schedules run until the first violation, or -1 if none is found. */
  public static long schedulesUntil(long first, SafetyRules rules) {
    for (int i = 0; i < MAX_MUTANT_SCHEDULES; i++) {
      if (new FaultSchedule(first + i, rules).run().isPresent()) {
        return i + 1L;
      }
    }
    return -1;
  }
}

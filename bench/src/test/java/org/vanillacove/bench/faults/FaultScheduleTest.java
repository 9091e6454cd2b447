package org.vanillacove.bench.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillacove.coordination.scheduling.SafetyRules;

/** Tests the invariants of a cell under seeded random faults. */
class FaultScheduleTest {
  private static final int SCHEDULES = 200;
  private static final Logger COORDINATION_LOGGER =
      Logger.getLogger("org.vanillacove.coordination");

  FaultScheduleTest() {
    COORDINATION_LOGGER.setLevel(Level.OFF);
  }

  @Test
  void noScheduleViolatesAnInvariant() {
    Map<Integer, String> violations = new TreeMap<>();
    for (int seed = 0; seed < SCHEDULES; seed++) {
      int number = seed;
      Optional<String> violation = new FaultSchedule(seed, SafetyRules.ALL).run();
      violation.ifPresent(text -> violations.put(number, text));
    }

    assertThat(violations).isEmpty();
  }

  /** In these schedules a task kept waiting after its region had been declared lost. */
  @ParameterizedTest
  @ValueSource(longs = {10_005_226, 10_008_597})
  void scheduleThatOnceViolatedAnInvariantHolds(long seed) {
    assertThat(new FaultSchedule(seed, SafetyRules.ALL).run()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"false,true,true", "true,false,true", "true,true,false"})
  void missingSafetyRuleIsDetected(boolean fencing, boolean lapseCertainty, boolean writeAhead) {
    SafetyRules rules = new SafetyRules(fencing, lapseCertainty, writeAhead);

    long schedules = FaultsBench.schedulesUntil(0, rules);

    assertThat(schedules).isPositive();
  }
}

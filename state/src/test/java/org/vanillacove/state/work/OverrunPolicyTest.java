package org.vanillacove.state.work;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillacove.state.estimate.RunTimeRatios;

/** Checks which runs at 100 percent are stopped under run times with a heavy tail. */
class OverrunPolicyTest {
  private static RunTimeRatios heavyTail(int observed) {
    RunTimeRatios ratios = new RunTimeRatios();
    for (int i = 0; i < observed; i++) {
      ratios.observe(i % 33 == 0 ? 7 : 0.6 + i % 10 * 0.1);
    }
    return ratios;
  }

  @ParameterizedTest
  @CsvSource({
    "0,    540,   1,  CONTINUE",
    "0,    540,   6,  CONTINUE",
    "0,    4200,  6,  CONTINUE",
    "0,    4200,  40, IMPLAUSIBLE",
    "1000, 540,   1,  CONTINUE",
    "1000, 540,   5,  CONTINUE",
    "1000, 540,   9,  IMPLAUSIBLE",
    "1000, 4200,  6,  CONTINUE",
    "1000, 4200,  20, IMPLAUSIBLE",
    "1000, 60000, 6,  CONTINUE",
  })
  void runsWithinTheTailContinue(
      int observed, long declared, double ratio, OverrunPolicy.Verdict expected) {
    OverrunPolicy.View view =
        new OverrunPolicy.View(declared, (long) (declared * ratio), false, false);
    assertThat(OverrunPolicy.judge(view, heavyTail(observed))).isEqualTo(expected);
  }

  @ParameterizedTest
  @CsvSource({"0, false", "1000, false", "1000, true"})
  void runOnAStandingWorkerIsStopped(int observed, boolean checkpoints) {
    OverrunPolicy.View view = new OverrunPolicy.View(4_200, 2_000, checkpoints, true);
    assertThat(OverrunPolicy.judge(view, heavyTail(observed)))
        .isEqualTo(OverrunPolicy.Verdict.WORKER_STANDS);
  }
}

package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.vanillacove.coordination.work.TrackedJob.Stage;

/** Tests when ended jobs are bundled into one record and when they are removed. */
class EndedJobsTest {
  private static final long STATUS_MILLIS = 120_000;

  private final EndedJobs ended = new EndedJobs();

  private static String id(int number) {
    return String.format("%016x", number);
  }

  private void add(int count, long nowMillis) {
    for (int i = 0; i < count; i++) {
      ended.add(id(i), i % 2 == 0 ? Stage.COMPLETED : Stage.FAILED, nowMillis);
    }
  }

  @Test
  void settledJobsShareOneRecordThatKeepsTheirOutcomes() {
    add(EndedJobs.BUNDLE_SIZE + 1, 0);
    assertThat(ended.bundle(EndedJobs.SETTLE_MILLIS)).isEmpty();
    EndedJobs.Bundle bundle = ended.bundle(EndedJobs.SETTLE_MILLIS + 1).orElseThrow();
    assertThat(ended.bundle(EndedJobs.SETTLE_MILLIS + 1)).isEmpty();
    assertThat(JobRecords.parseEnded(JobRecords.ended(bundle), 0)).contains(bundle);
    assertThat(ended.outcome(id(0))).contains(Stage.COMPLETED);
    assertThat(ended.outcome(id(1))).contains(Stage.FAILED);
  }

  @Test
  void jobsAreForgottenAfterTheRetentionTime() {
    add(EndedJobs.BUNDLE_SIZE + 1, 0);
    ended.bundle(10_000);
    assertThat(ended.forgetBundles(0)).isEmpty();
    assertThat(ended.forgetBundles(STATUS_MILLIS)).hasSize(1);
    assertThat(ended.forgetUnbundled(STATUS_MILLIS)).hasSize(1);
    assertThat(ended.outcome(id(0))).isEmpty();
    assertThat(ended.outcome(id(EndedJobs.BUNDLE_SIZE))).isEmpty();
  }
}

package org.vanillacove.coordination.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link BackendHealth}. */
class BackendHealthTest {
  private static final double NORMAL_SPEED = 1;
  private final BackendHealth health = new BackendHealth();

  @Test
  void fiveConsecutiveFailuresEjectBackendForTwoSeconds() {
    fail(4, 0);
    succeed(0);
    fail(4, 0);
    assertThat(health.allows(0, NORMAL_SPEED)).isTrue();

    fail(1, 0);

    assertThat(health.isEjected(1_999)).isTrue();
    assertThat(health.allows(1_999, NORMAL_SPEED)).isFalse();
    assertThat(health.isEjected(2_000)).isFalse();
  }

  @Test
  void limitDoublesWithEachSuccessAfterEjection() {
    fail(5, 0);
    assertThat(allowedAtOnce(2_000, NORMAL_SPEED)).isEqualTo(1);
    succeed(2_000);
    assertThat(allowedAtOnce(2_000, NORMAL_SPEED)).isEqualTo(2);
    succeed(2_000);
    assertThat(allowedAtOnce(2_000, NORMAL_SPEED)).isEqualTo(4);
    for (int i = 0; i < 3; i++) {
      succeed(2_000);
    }
    assertThat(allowedAtOnce(2_000, NORMAL_SPEED)).isEqualTo(100);
  }

  @Test
  void repeatedEjectionDoublesUpToThirtyTwoSeconds() {
    fail(5, 0);
    long now = 2_000;
    for (long millis : new long[] {4_000, 8_000, 16_000, 32_000, 32_000}) {
      fail(1, now);
      assertThat(health.isEjected(now + millis - 1)).isTrue();
      assertThat(health.isEjected(now + millis)).isFalse();
      now += millis;
    }
  }

  @Test
  void slowBackendGetsOneRequestAtATime() {
    assertThat(allowedAtOnce(0, 2.5)).isEqualTo(1);
    assertThat(allowedAtOnce(0, 1.5)).isEqualTo(100);
  }

  @Test
  void slownessFollowsObservationsAndDecaysToOne() {
    assertThat(health.isObserved()).isFalse();
    for (int i = 0; i < 60; i++) {
      health.onStart();
      health.onEnd(true, 5, 1_000);
    }
    assertThat(health.isObserved()).isTrue();
    assertThat(health.slowness(1_000)).isBetween(4.9, 5.0);
    assertThat(health.slowness(61_000)).isBetween(2.9, 3.0);
  }

  private void fail(int times, long nowMillis) {
    for (int i = 0; i < times; i++) {
      health.onStart();
      health.onEnd(false, 0, nowMillis);
    }
  }

  private void succeed(long nowMillis) {
    health.onStart();
    health.onEnd(true, NORMAL_SPEED, nowMillis);
  }

  private int allowedAtOnce(long nowMillis, double compared) {
    int started = 0;
    while (started < 100 && health.allows(nowMillis, compared)) {
      health.onStart();
      started++;
    }
    for (int i = 0; i < started; i++) {
      health.onAbandoned();
    }
    return started;
  }
}

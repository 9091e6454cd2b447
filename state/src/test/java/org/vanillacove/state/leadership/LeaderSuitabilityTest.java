package org.vanillacove.state.leadership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which hosts lead in a cell of unlike hosts. */
class LeaderSuitabilityTest {
  private static final HostCapacity LARGE = new HostCapacity(1.5, 200, 682, 8_192);
  private static final HostCapacity THIN_LINK = new HostCapacity(0.9, 10, 570, 10_250);
  private static final HostCapacity SMALL = new HostCapacity(0.27, 10, 290, 3_075);
  private static final HostCapacity UNKNOWN =
      new HostCapacity(0, HostCapacity.UNLIMITED, HostCapacity.UNLIMITED, HostCapacity.UNLIMITED);

  private static LeaderCandidate candidate(
      String host, HostCapacity capacity, long roundTripMillis, long replicaMillis, long lag) {
    return new LeaderCandidate(host, capacity, roundTripMillis, replicaMillis, lag);
  }

  // Guards against a leader with a fast processor on a link that its calls saturate.
  @ParameterizedTest
  @CsvSource({
    "1.5, 200, 682, 8192, false",
    "0.8, 200, 682, 8192, false",
    "0.7, 200, 682, 8192, true",
    "1.5, 60, 682, 8192, false",
    "1.5, 40, 682, 8192, true",
    "3, 10, 1000, 20000, true",
    "1.5, 1000, 140, 8192, false",
    "1.5, 1000, 120, 8192, true",
    "1.5, 1000, 682, 1500, false",
    "1.5, 1000, 682, 900, true",
  })
  void hostIsSmallByTheResourceOfWhichItHasLeast(
      double cores, double link, double memory, double descriptors, boolean small) {
    HostCapacity host = new HostCapacity(cores, link, memory, descriptors);
    assertThat(LeaderSuitability.isSmall(host, LARGE)).isEqualTo(small);
  }

  @Test
  void resourceWithoutALimitIsNoReasonAgainstAHost() {
    HostCapacity unlimited =
        new HostCapacity(
            1.5, HostCapacity.UNLIMITED, HostCapacity.UNLIMITED, HostCapacity.UNLIMITED);
    assertThat(LeaderSuitability.isSmall(unlimited, LARGE)).isFalse();
    assertThat(LeaderSuitability.isSmall(LARGE, unlimited)).isFalse();
    assertThat(LeaderSuitability.isSmall(UNKNOWN, UNKNOWN)).isFalse();
  }

  @Test
  void bestHostIsTheOneWithoutAScarceResource() {
    assertThat(LeaderSuitability.best(List.of(THIN_LINK, LARGE, SMALL, UNKNOWN))).contains(LARGE);
    assertThat(LeaderSuitability.best(List.of(THIN_LINK, SMALL))).contains(THIN_LINK);
    assertThat(LeaderSuitability.best(List.of())).isEmpty();
  }

  @Test
  void successorsAreOrderedByKindThenLoadThenReplica() {
    List<LeaderCandidate> hosts =
        List.of(
            candidate("small", SMALL, 5, -1, 0),
            candidate("small-far", SMALL, 61, -1, 0),
            candidate("thin", THIN_LINK, 5, 60_000, 0),
            candidate("far", LARGE, 61, -1, 0),
            candidate("starting", LARGE, 5, 100, 0),
            candidate("busy", LARGE, 5, 4_000, 900),
            candidate("old", LARGE, 5, 60_000, 0),
            candidate("young", LARGE, 5, 5_000, 20));
    assertThat(LeaderSuitability.successionOrder(hosts, LARGE))
        .extracting(LeaderCandidate::host)
        .containsExactly("young", "old", "starting", "busy", "far", "thin", "small", "small-far");
  }

  @ParameterizedTest
  @CsvSource({
    // Near and large hosts stay, also overloaded among equals.
    "5, false, 5, 60000, 0, false, false",
    "5, false, 5, 60000, 0, true, false",
    // A host far from the store, or a small one, gives way to a standby host.
    "61, false, 5, 60000, 0, false, true",
    "5, true, 5, 60000, 0, false, true",
    "5, true, 61, -1, 0, false, true",
    // Not to one that is starting or busy.
    "5, true, 5, 100, 0, true, false",
    "5, true, 5, 60000, 400, true, false",
    // Nor does a host near the store give way to one that is not.
    "5, false, 61, -1, 0, true, false",
  })
  void leaderGivesWayToAHostOfABetterKind(
      long leaderRoundTrip,
      boolean smallLeader,
      long roundTrip,
      long replica,
      long lag,
      boolean overloaded,
      boolean better) {
    LeaderCandidate leader =
        candidate("leader", smallLeader ? THIN_LINK : LARGE, leaderRoundTrip, 60_000, 500);
    LeaderCandidate next = candidate("next", LARGE, roundTrip, replica, lag);
    assertThat(LeaderSuitability.isBetter(next, leader, LARGE, overloaded)).isEqualTo(better);
  }

  @ParameterizedTest
  @CsvSource({"0.9, 200, true, true", "0.9, 200, false, false", "1.1, 200, true, false"})
  void overloadedLeaderGivesWayToAClearlyLargerHostOfItsKind(
      double cores, double link, boolean overloaded, boolean better) {
    HostCapacity less = new HostCapacity(cores, link, 682, 8_192);
    LeaderCandidate leader = candidate("leader", less, 5, 60_000, 500);
    LeaderCandidate next = candidate("next", LARGE, 5, 60_000, 0);
    assertThat(LeaderSuitability.isBetter(next, leader, LARGE, overloaded)).isEqualTo(better);
    assertThat(LeaderSuitability.isBetter(leader, next, LARGE, overloaded)).isFalse();
  }

  @ParameterizedTest
  @CsvSource({
    "5, false, 0, 20",
    "5, false, 299, 20",
    "61, false, 0, 244",
    "400, false, 0, 400",
    "5, true, 0, 320",
    "5, false, 350, 370",
    "5, true, 9000, 720",
  })
  void lessSuitedHostsClaimLater(long roundTrip, boolean small, long lag, long delay) {
    assertThat(LeaderSuitability.claimDelayMillis(roundTrip, small, lag)).isEqualTo(delay);
  }
}

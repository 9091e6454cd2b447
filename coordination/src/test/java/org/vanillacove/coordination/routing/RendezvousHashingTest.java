package org.vanillacove.coordination.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.HostSpec;

/** Tests {@link RendezvousHashing}. */
class RendezvousHashingTest {
  private static final AvailabilityZone ATTICA = new AvailabilityZone("attica", "attica-a");
  private static final AvailabilityZone THESSALY = new AvailabilityZone("thessaly", "thessaly-a");
  private static final List<HostSpec> HOSTS =
      List.of(
          new HostSpec("e0", "127.0.0.1:1", ATTICA),
          new HostSpec("e1", "127.0.0.1:2", ATTICA),
          new HostSpec("e2", "127.0.0.1:3", ATTICA));
  private static final List<String> KEYS = IntStream.range(0, 10).mapToObj(i -> "b" + i).toList();

  @Test
  void noHostExceedsItsEvenShareRoundedUp() {
    Map<String, String> owners = RendezvousHashing.assignEvenly(KEYS, HOSTS);

    assertThat(owners).hasSize(10);
    HOSTS.forEach(
        host -> assertThat(Collections.frequency(owners.values(), host.id())).isBetween(2, 4));
  }

  @Test
  void assignmentIsIndependentOfInputOrder() {
    assertThat(RendezvousHashing.assignEvenly(KEYS.reversed(), HOSTS.reversed()))
        .isEqualTo(RendezvousHashing.assignEvenly(KEYS, HOSTS));
  }

  @Test
  void regionWithoutHostsFallsBackToAllHosts() {
    assertThat(RendezvousHashing.hostsOfRegionOrAll("thessaly", HOSTS)).isEqualTo(HOSTS);
    HostSpec far = new HostSpec("e3", "127.0.0.1:4", THESSALY);
    assertThat(RendezvousHashing.hostsOfRegionOrAll("thessaly", List.of(HOSTS.getFirst(), far)))
        .containsExactly(far);
  }
}

package org.vanillacove.protocol.settings;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;
import org.vanillacove.protocol.document.DocumentOutcome;
import org.vanillacove.protocol.document.DocumentOutcome.Rejected;

/** Tests that valid settings are parsed and malformed ones rejected by field. */
class DaemonSettingsLoaderTest {
  private final DaemonSettingsLoader loader = new DaemonSettingsLoader();

  @ParameterizedTest(name = "{0}")
  @CsvFileSource(resources = "malformed.csv", delimiter = '|', quoteCharacter = '`')
  void malformedSettingsAreRejectedWithFieldAndReason(
      String name, String text, String field, String reason) {
    DocumentOutcome<DaemonSettings> outcome = loader.load(text);

    assertThat(outcome).isInstanceOf(Rejected.class);
    assertThat(((Rejected<DaemonSettings>) outcome).faults())
        .anySatisfy(
            fault -> {
              assertThat(fault.field()).isEqualTo(field);
              assertThat(fault.reason()).contains(reason);
            });
  }

  @Test
  void omittedTimingsTakeDefaults() {
    String text =
        """
        {"hostId":"h1","availabilityZone":"z1","region":"r1",
         "listen":{"guest":"127.0.0.1:1","operator":"[::1]:2","peer":"127.0.0.1:3"},
         "platform":{"log":"127.0.0.1:4","hostList":"127.0.0.1:5","workerList":"127.0.0.1:6"},
         "tls":{"peer":{"certificate":"c.pem","key":"k.pem","trusted":"t.pem"}},
         "timings":{"batchMillis":7}}
        """;

    DaemonSettings settings =
        ((DocumentOutcome.Accepted<DaemonSettings>) loader.load(text)).value();

    assertThat(settings.host().peerAddress()).isEqualTo("127.0.0.1:3");
    assertThat(settings.timings().batchMillis()).isEqualTo(7);
    assertThat(settings.timings().heartbeatMillis())
        .isEqualTo(DaemonSettings.TimingSettings.DEFAULTS.heartbeatMillis());
    assertThat(settings.tls().peer().orElseThrow().trusted()).contains("t.pem");
    assertThat(settings.tls().guest()).isEmpty();
  }

  @Test
  void announcedPeerIsTheHostsPeerAddress() {
    String text =
        """
        {"hostId":"h1","availabilityZone":"z1","region":"r1",
         "listen":{"guest":"0.0.0.0:1","operator":"0.0.0.0:2","peer":"0.0.0.0:3",
          "announcedPeer":"10.1.2.3:3"},
         "platform":{"log":"127.0.0.1:4","hostList":"127.0.0.1:5","workerList":"127.0.0.1:6"}}
        """;

    DaemonSettings settings =
        ((DocumentOutcome.Accepted<DaemonSettings>) loader.load(text)).value();

    assertThat(settings.host().peerAddress()).isEqualTo("10.1.2.3:3");
    assertThat(settings.listen().peer()).isEqualTo("0.0.0.0:3");
  }
}

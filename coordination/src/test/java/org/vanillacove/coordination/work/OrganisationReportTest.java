package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.Gauge;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.tenancy.Organisation;
import org.vanillacove.state.tenancy.OrganisationTable;

/** Tests the metrics on organisations and their bounded number. */
class OrganisationReportTest {
  private static final String ID = "00000000000000a1";

  @ParameterizedTest
  @ValueSource(ints = {1, 20, 21, 50})
  void metricsShowUseCapAndWaitingJobs(int organisations) {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    List<Organisation> all = new ArrayList<>();
    for (int i = 0; i < organisations; i++) {
      all.add(CellFixture.organisation("o" + i, 1, new Resources(2_000, 0, 0)));
    }
    fixture.configureOrganisations(new OrganisationTable(all));
    fixture.run(1_000);
    fixture.submit(
        CellFixture.job(ID, CellFixture.step(4, 1_000, 20_000, false, List.of()))
            .ofOrganisation("o0"));
    fixture.run(500);
    for (int i = 0; i < 3; i++) {
      fixture.submit(
          CellFixture.job("00000000000000b" + i, CellFixture.step(1, 1_000, 500, false, List.of()))
              .ofOrganisation("o0"));
    }
    fixture.submit(
        CellFixture.job("00000000000000c1", CellFixture.step(1, 3_000, 500, false, List.of()))
            .ofOrganisation("o0"));
    fixture.run(5_000);

    assertThat(value(fixture, "organisations.used", "o0")).contains(2.0);
    assertThat(value(fixture, "organisations.cap", "o0")).contains(2.0);
    assertThat(value(fixture, "organisations.share", "o0")).contains(2.0 / 48);
    assertThat(value(fixture, "organisations.waiting.jobs", "o0")).contains(3.0);
    assertThat(value(fixture, "organisations.rejected.jobs", "o0")).contains(1.0);
    assertThat(value(fixture, "organisations.oldest.wait.seconds", "o0").orElseThrow())
        .isBetween(3.5, 5.5);
    assertThat(value(fixture, "organisations.waiting.jobs", "others").isPresent())
        .isEqualTo(organisations > 20);
    assertThat(fixture.registry.find("organisations.waiting.jobs").gauges())
        .hasSize(Math.min(organisations, 21));

    fixture.cell().close();
    assertThat(fixture.registry.find("organisations.waiting.jobs").gauges()).isEmpty();
  }

  private static Optional<Double> value(CellFixture fixture, String name, String organisation) {
    return fixture.registry.find(name).tag("organisation", organisation).gauges().stream()
        .filter(gauge -> isCpuOrUndivided(gauge))
        .map(Gauge::value)
        .findFirst();
  }

  private static boolean isCpuOrUndivided(Gauge gauge) {
    String component = gauge.getId().getTag("component");
    return component == null || component.equals("cpu");
  }
}

package org.vanillacove.protocol.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillacove.protocol.configuration.ExceptionAudit.Effect;
import org.vanillacove.protocol.document.DocumentOutcome;
import org.vanillacove.protocol.document.DocumentOutcome.Rejected;
import org.vanillacove.protocol.document.FieldFault;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.RoutingSettings;
import org.vanillacove.state.api.WorkloadKind;

/** Tests validation of configurations, their effective values and the comparison of documents. */
class ConfigurationLoaderTest {
  private static final Instant NOW = Instant.parse("2026-06-01T00:00:00Z");

  private static final String DOCUMENT =
      """
      {"defaults": {
         "quotas": {"t": {"cpuMillis": 100, "memoryMib": 50},
                    "u": {"cpuMillis": 10, "memoryMib": 10}},
         "classes": {"urgent": {"maxTasksPerJob": 8}},
         "routing": {"queueLimit": 10}},
       "exceptions": [
         {"name": "more", "scope": {"team": "t"}, "field": "quota.cpuMillis", "value": 150,
          "reason": "season", "owner": "ana", "expires": "2026-06-02T00:00:00Z"},
         {"name": "ended", "scope": {"team": "u"}, "field": "quota.cpuMillis", "value": 99,
          "reason": "past", "owner": "ana", "expires": "2026-06-01T00:00:00Z"},
         {"name": "same", "scope": {"region": "r1"}, "field": "routing.queueLimit", "value": 10,
          "reason": "kept", "owner": "ana"},
         {"name": "low", "scope": {"team": "t", "workload": "batch"},
          "field": "workload.priority", "value": "low", "reason": "night", "owner": "ana"},
         {"name": "big", "scope": {"team": "t", "class": "urgent"},
          "field": "class.maxTasksPerJob", "value": 16, "reason": "spans", "owner": "ana"}]}
      """;

  private final ConfigurationLoader loader = new ConfigurationLoader();

  @ParameterizedTest(name = "{0}")
  @CsvFileSource(resources = "malformed.csv", delimiter = '|', quoteCharacter = '`')
  void malformedDocumentIsRejectedWithFieldAndReason(
      String name, String text, String field, String reason) {
    DocumentOutcome<ConfigurationDocument> outcome = loader.load(text);

    assertThat(outcome).isInstanceOf(Rejected.class);
    assertThat(((Rejected<ConfigurationDocument>) outcome).faults())
        .anySatisfy(
            fault -> {
              assertThat(fault.field()).isEqualTo(field);
              assertThat(fault.reason()).contains(reason);
            });
  }

  @Test
  void emptyDocumentGivesBuiltInDefaults() {
    EffectiveConfiguration values = new EffectiveConfiguration(load(ConfigurationText.EMPTY), NOW);

    assertThat(values.placement()).isEqualTo(PlacementSettings.DEFAULTS);
    assertThat(values.routing("r1")).isEqualTo(RoutingSettings.DEFAULTS);
  }

  @Test
  void exceptionsApplyWithinTheirScopeOnly() {
    EffectiveConfiguration values = new EffectiveConfiguration(load(DOCUMENT), NOW);

    assertThat(values.placement().teamQuotas())
        .containsEntry("t", new Resources(150, 50, 0))
        .containsEntry("u", new Resources(10, 10, 0));
    assertThat(values.jobDefaults("t", WorkloadKind.BATCH).priority()).isEqualTo(PriorityClass.LOW);
    assertThat(values.jobDefaults("u", WorkloadKind.BATCH).priority())
        .isEqualTo(PriorityClass.NORMAL);
    assertThat(values.maxTasksPerJob("t", PriorityClass.URGENT)).isEqualTo(16);
    assertThat(values.maxTasksPerJob("u", PriorityClass.URGENT)).isEqualTo(8);
  }

  @ParameterizedTest
  @CsvSource({
    "more, IN_FORCE, 100",
    "ended, EXPIRED, 10",
    "same, SAME_AS_DEFAULT, 10",
    "low, IN_FORCE, normal",
    "big, IN_FORCE, 8"
  })
  void auditReportsEffectOfEachException(String name, Effect effect, String defaultValue) {
    assertThat(ExceptionAudit.findings(load(DOCUMENT), NOW))
        .filteredOn(finding -> finding.rule().name().equals(name))
        .singleElement()
        .satisfies(
            finding -> {
              assertThat(finding.effect()).isEqualTo(effect);
              assertThat(finding.defaultValue()).isEqualTo(defaultValue);
            });
  }

  @ParameterizedTest
  @CsvSource({"110, 0", "109, 1", "100, 1"})
  void quotasOverCapacityAreRejected(long cpuMillis, int faults) {
    List<FieldFault> found =
        CapacityCheck.faults(
            new EffectiveConfiguration(load(DOCUMENT), NOW.plusSeconds(172_800)),
            new EffectiveConfiguration(ConfigurationDocument.BUILT_IN, NOW),
            100,
            new Resources(cpuMillis, 1_000, 0));

    assertThat(found).hasSize(faults);
  }

  @Test
  void unchangedSumOverCapacityIsAccepted() {
    EffectiveConfiguration values = new EffectiveConfiguration(load(DOCUMENT), NOW);

    assertThat(CapacityCheck.faults(values, values, 100, new Resources(1, 1, 0))).isEmpty();
  }

  @Test
  void diffIdentifiesExceptionsByName() {
    String after =
        ConfigurationText.withoutException(DOCUMENT, "ended")
            .orElseThrow()
            .replace("\"queueLimit\":10", "\"queueLimit\":11");

    assertThat(ConfigurationText.diff(DOCUMENT, after))
        .extracting(ConfigurationText.Change::field)
        .containsExactly("$.defaults.routing.queueLimit", "$.exceptions.ended");
  }

  private ConfigurationDocument load(String text) {
    return ((DocumentOutcome.Accepted<ConfigurationDocument>) loader.load(text)).value();
  }
}

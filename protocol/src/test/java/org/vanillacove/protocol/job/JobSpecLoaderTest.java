package org.vanillacove.protocol.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.vanillacove.protocol.document.DocumentOutcome;
import org.vanillacove.protocol.document.DocumentOutcome.Rejected;
import org.vanillacove.protocol.document.FieldFault;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.WorkloadKind;

/** Tests that valid job files are parsed and malformed ones rejected with all their faults. */
class JobSpecLoaderTest {
  private final JobSpecLoader loader = new JobSpecLoader();

  @ParameterizedTest(name = "{0}")
  @CsvFileSource(resources = "malformed.csv", delimiter = '|', quoteCharacter = '`')
  void malformedFileIsRejectedWithFieldAndReason(
      String name, String text, String field, String reason) {
    DocumentOutcome<JobSpec> outcome = loader.load(text);

    assertThat(outcome).isInstanceOf(Rejected.class);
    assertThat(((Rejected<JobSpec>) outcome).faults())
        .anySatisfy(
            fault -> {
              assertThat(fault.field()).isEqualTo(field);
              assertThat(fault.reason()).contains(reason);
            });
  }

  @Test
  void allFaultsAreReportedTogether() {
    DocumentOutcome<JobSpec> outcome =
        loader.load("{\"name\":1,\"kind\":\"x\",\"resources\":{\"cpuMillis\":-1},\"odd\":2}");

    assertThat(((Rejected<JobSpec>) outcome).faults())
        .extracting(FieldFault::field)
        .containsExactly(
            "$.command",
            "$.kind",
            "$.name",
            "$.odd",
            "$.resources.cpuMillis",
            "$.resources.memoryMib",
            "$.team");
  }

  @Test
  void deepNestingIsRejected() {
    String text = "{\"a\":".repeat(5_000) + "1" + "}".repeat(5_000);

    assertThat(loader.load(text))
        .isInstanceOfSatisfying(
            Rejected.class,
            rejected -> assertThat(rejected.faults().toString()).contains("nested too deeply"));
  }

  @Test
  void tooLongFileIsRejected() {
    assertThat(loader.load("\"" + "x".repeat(300_000) + "\""))
        .isEqualTo(
            new Rejected<JobSpec>(List.of(new FieldFault("$", "longer than 262144 characters"))));
  }

  @ParameterizedTest
  @EnumSource
  void exampleFileIsAccepted(WorkloadKind kind) throws IOException {
    Path file = Path.of("..", "examples", kind.name().toLowerCase(java.util.Locale.ROOT) + ".json");

    assertThat(loader.load(Files.readString(file)))
        .isInstanceOfSatisfying(
            DocumentOutcome.Accepted.class,
            accepted -> assertThat(((JobSpec) accepted.value()).kind()).isEqualTo(kind));
  }

  @Test
  void omittedFieldsTakeDefaultsOfTheKind() {
    String text =
        "{\"name\":\"a\",\"team\":\"t\",\"kind\":\"batch\","
            + "\"resources\":{\"cpuMillis\":1,\"memoryMib\":2},\"command\":\"x\"}";

    JobSpec spec = ((DocumentOutcome.Accepted<JobSpec>) loader.load(text)).value();

    assertThat(spec.rerun()).isEqualTo(RerunPolicy.AT_MOST_ONCE);
    assertThat(spec.loss()).isEqualTo(LossPolicy.MOVE);
    assertThat(spec.taskCount()).isEqualTo(1);
  }
}

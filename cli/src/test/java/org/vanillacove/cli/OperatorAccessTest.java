package org.vanillacove.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;
import org.vanillacove.protocol.settings.OperatorRole;
import org.vanillacove.transport.operator.access.FailedLoginLimit;
import org.vanillacove.transport.operator.access.TokenHash;

/** Tests the permissions of each role and team, and that invalid tokens permit nothing. */
class OperatorAccessTest {
  private static final SecureRandom RANDOM = new SecureRandom();

  @TempDir private Path directory;

  private InMemoryHosts hosts;

  @BeforeEach
  void startHosts() throws IOException {
    TokenHash.NewToken viewer =
        TokenHash.create("viewer", OperatorRole.VIEWER, Optional.empty(), RANDOM);
    TokenHash.NewToken operator =
        TokenHash.create("operator", OperatorRole.OPERATOR, Optional.empty(), RANDOM);
    TokenHash.NewToken team =
        TokenHash.create("team", OperatorRole.OPERATOR, Optional.of("karamanlis"), RANDOM);
    Files.writeString(directory.resolve("viewer"), viewer.token() + "\n");
    Files.writeString(directory.resolve("operator"), operator.token());
    Files.writeString(directory.resolve("team"), team.token());
    Files.writeString(directory.resolve("wrong"), "operator:" + "0".repeat(64));
    Files.writeString(directory.resolve("stranger"), "stranger:" + "0".repeat(64));
    Files.writeString(directory.resolve("empty.json"), "{\"defaults\":{}}");
    for (String name : List.of("batch", "gang")) {
      Files.copy(Path.of("..", "examples", name + ".json"), directory.resolve(name + ".json"));
    }
    hosts =
        new InMemoryHosts(
            directory, List.of(viewer.settings(), operator.settings(), team.settings()));
    run("operator", "job submit batch.json --id j-batch");
    run("operator", "job submit gang.json --id j-gang");
  }

  @AfterEach
  void stopHosts() {
    hosts.close();
  }

  @ParameterizedTest(name = "{0}")
  @CsvFileSource(resources = "access.csv", delimiter = '|', numLinesToSkip = 1)
  void exitCodeDependsOnTokenRole(
      String command, int viewer, int operator, int team, int wrong, int stranger) {
    assertThat(run("wrong", command).code()).isEqualTo(wrong);
    assertThat(run("stranger", command).code()).isEqualTo(stranger);
    assertThat(hosts.run("h1", command.split(" ")).code()).isEqualTo(wrong);
    assertThat(run("viewer", command).code()).isEqualTo(viewer);
    assertThat(run("team", command).code()).isEqualTo(team);
    assertThat(run("operator", command).code()).isEqualTo(operator);
  }

  @Test
  void teamTokenListsOnlyJobsOfItsTeam() {
    assertThat(run("team", "job list").out()).contains("j-batch").doesNotContain("j-gang");
  }

  @Test
  void addressIsBlockedForOneWindowAfterTooManyFailures() {
    for (int i = 0; i < FailedLoginLimit.MAX_FAILURES; i++) {
      run("wrong", "job list");
    }

    assertThat(run("viewer", "job list").err()).contains("too many failed logins");
    assertThat(run("operator", "job list").code()).isEqualTo(ExitCode.SUCCESS);

    hosts.timer().after(java.time.Duration.ofMillis(FailedLoginLimit.WINDOW_MILLIS), () -> {});
    assertThat(run("viewer", "job list").code()).isEqualTo(ExitCode.SUCCESS);
  }

  @Test
  void timelineContainsNoTokenSecret() throws IOException {
    String secret = Files.readString(directory.resolve("operator")).split(":", -1)[1];

    assertThat(run("operator", "timeline").out())
        .contains("operator-request")
        .doesNotContain(secret);
  }

  private InMemoryHosts.Result run(String token, String command) {
    String[] words = ("--token-file " + token + " " + command).split(" ");
    return hosts.run("h1", words);
  }
}

package org.vanillacove.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.reporters.QuietReporter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.vanillacove.state.api.TaskOutcome;

/** Compares the output and exit codes of command sequences with approved files. */
class CommandLineApprovalTest {
  private static final String DOCUMENT =
      """
      {"defaults": {
         "quotas": {
           "karamanlis": {"cpuMillis": 50000, "memoryMib": 120000},
           "encosta-sul": {"cpuMillis": 50000, "memoryMib": 120000, "accelerators": 8}},
         "routing": {"queueLimit": 1000}}}
      """;

  @TempDir private Path directory;

  private final StringBuilder transcripts = new StringBuilder();
  private InMemoryHosts hosts;

  @BeforeEach
  void startHosts() {
    hosts = new InMemoryHosts(directory, List.of());
  }

  @AfterEach
  void stopHosts() {
    hosts.close();
  }

  @Test
  void jobsFromSubmissionToCancellation() throws IOException {
    for (String name : List.of("service", "batch", "gang")) {
      Files.copy(Path.of("..", "examples", name + ".json"), directory.resolve(name + ".json"));
    }
    write("bad.json", "{\"name\":\"A\",\"tasks\":-1,\"kind\":\"batch\",\"colour\":1}");
    run("h1", "cell", "status");
    String service = run("h1", "job", "submit", "service.json").out().strip();
    String gang = run("h2", "job", "submit", "gang.json").out().strip();
    run("h1", "job", "submit", "bad.json");
    run("h1", "job", "submit", "nowhere.json");
    hosts.cell().setTasks(service, Optional.of("w1"), Optional.empty());
    run("h3", "job", "list");
    run("h1", "job", "show", gang);
    run("h1", "job", "wait", service);
    run("h1", "job", "cancel", service, "--reason", "end of season");
    run("h1", "job", "wait", service);
    run("h1", "job", "list", "--all");
    run("h1", "job", "show", "j-none");
    hosts.cell().setLog(false, false);
    run("h1", "job", "submit", "batch.json");
    hosts.cell().setLog(true, true);
    run("h1", "job", "submit", "batch.json", "--id", "j-again");
    hosts.cell().setLog(true, false);
    run("h1", "job", "submit", "batch.json", "--id", "j-again");
    hosts.cell().setTasks("j-again", Optional.empty(), Optional.of(TaskOutcome.UNKNOWN));
    run("h1", "job", "wait", "j-again");
    run("h1", "worker", "drain", "w2", "--reason", "new disk");
    run("h1", "worker", "list");
    run("h1", "worker", "drain", "w9", "--reason", "typing error");
    verify();
  }

  @Test
  void configurationWithRaceBadDocumentExpiryAndRollback() throws IOException {
    write("first.json", DOCUMENT);
    write("bad.json", DOCUMENT.replace("50000", "-1").replace("routing", "rooting"));
    write("huge.json", DOCUMENT.replace("50000", "50000000"));
    run("h1", "config", "check", "first.json");
    run("h1", "config", "put", "first.json", "--reason", "first quotas");
    Files.writeString(directory.resolve("shown.json"), run("h2", "config", "show").out());
    String edited = Files.readString(directory.resolve("shown.json"));
    write("mine.json", edited.replace("1000", "1500"));
    write("theirs.json", edited.replace("120000", "90000"));
    run("h2", "config", "put", "theirs.json", "--reason", "less memory");
    run("h3", "config", "put", "mine.json", "--reason", "longer queue");
    run("h1", "config", "put", "bad.json");
    run("h1", "config", "put", "huge.json", "--based-on", "102");
    addException("night-shift", "70000", "2026-06-02T00:00:00Z");
    addException("no-reason", "70000", "2026-06-02T00:00:00Z", " ");
    run("h2", "exception", "list");
    hosts.timer().moveWall(Duration.ofDays(1));
    run("h2", "exception", "list");
    run("h2", "exception", "remove", "night-shift");
    run("h2", "exception", "remove", "night-shift");
    hosts.cell().pinVersion("h3", true);
    run("h1", "config", "rollback", "101", "--reason", "memory was needed");
    hosts.network().setCut("h1", "h2", true);
    run("h1", "cell", "status");
    hosts.network().setCut("h1", "h2", false);
    hosts.cell().pinVersion("h3", false);
    run("h1", "config", "history");
    run("h1", "config", "diff", "101", "102");
    run("h1", "config", "diff", "101", "7");
    run("h1", "timeline", "--kind", "operator-request", "--limit", "3");
    verify();
  }

  @Test
  void timelineMergesHostsByTime() {
    hosts.recorder("h2").record("job-accepted", "j1", "job j1 with 2 tasks");
    hosts.timer().moveWall(Duration.ofMillis(20));
    hosts.recorder("h1").record("task-started", "j1/0", "attempt 1 on worker w1");
    hosts.recorder("h3").record("task-started", "j12/0", "attempt 1 on worker w1");
    hosts.timer().moveWall(Duration.ofMillis(20));
    hosts.recorder("h2").record("task-ended", "j1/0", "attempt 1 on worker w1: <b>succeeded</b>");
    run("h3", "timeline");
    run("h3", "timeline", "--job", "j1");
    run("h3", "timeline", "--job", "j1", "--worker", "w1", "--kind", "task-ended");
    run("h3", "--output", "json", "timeline", "--limit", "1");
    hosts.network().setCut("h3", "h2", true);
    run("h3", "timeline", "--job", "j12");
    run("h3", "timeline", "--from", "yesterday");
    run("h3", "timeline", "--html", "report.html");
    verify();
    assertThat(directory.resolve("report.html"))
        .content()
        .contains("task-started")
        .doesNotContain("<b>succeeded");
  }

  @Test
  void helpAndUsageOnEveryLevel() {
    run("h1");
    run("h1", "--help");
    run("h1", "job");
    run("h1", "job", "--help");
    run("h1", "job", "fly");
    run("h1", "fly");
    run("h1", "job", "submit");
    run("h1", "job", "submit", "--help");
    run("h1", "config", "put", "--based-on", "x", "f");
    run("h1", "--output", "xml", "job", "list");
    run("h1", "completion", "bash");
    verify();
  }

  private void addException(String name, String value, String expires, String... reason) {
    run(
        "h1",
        "exception",
        "add",
        name,
        "--field",
        "quota.cpuMillis",
        "--team",
        "karamanlis",
        "--value",
        value,
        "--owner",
        "ana",
        "--reason",
        reason.length == 0 ? "presses run at night" : reason[0],
        "--expires",
        expires);
  }

  private InMemoryHosts.Result run(String host, String... words) {
    InMemoryHosts.Result result = hosts.run(host, words);
    transcripts.append(result.transcript(words));
    return result;
  }

  private void write(String name, String text) throws IOException {
    Files.writeString(directory.resolve(name), text);
  }

  private void verify() {
    Approvals.verify(transcripts.toString(), new Options().withReporter(QuietReporter.INSTANCE));
  }
}

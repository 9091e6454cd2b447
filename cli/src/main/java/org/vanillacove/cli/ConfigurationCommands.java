package org.vanillacove.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Optional;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.vanillacove.protocol.configuration.ConfigurationDocument;
import org.vanillacove.protocol.configuration.ConfigurationLoader;
import org.vanillacove.protocol.document.DocumentOutcome;
import org.vanillacove.transport.operator.message.ConfigurationMessage;
import org.vanillacove.transport.operator.message.DiffMessage;
import org.vanillacove.transport.operator.message.HistoryMessage;
import org.vanillacove.transport.operator.message.InForceMessage;
import org.vanillacove.transport.operator.message.OperatorJson;
import org.vanillacove.transport.operator.message.OutcomeMessage;

/** Commands that show and change the configuration. */
final class ConfigurationCommands {
  private ConfigurationCommands() {}

  /** Shows a configuration version. */
  static final class Show extends Command {
    /** Version to show, null for the one in force. */
    @Option(
        name = "--version",
        metaVar = "VERSION",
        usage = "version to show; by default the one in force")
    private Long version;

    @Override
    int run(CommandContext context) {
      return context.handleQuery(
          context.client().get("/configuration" + (version == null ? "" : "?version=" + version)),
          new TypeReference<ConfigurationMessage>() {},
          context::printJson);
    }
  }

  /** Puts a document in force. */
  static final class Put extends Command {
    /** Name of the file with the document. */
    @Argument(
        required = true,
        metaVar = "FILE",
        usage = "document in JSON, as config show prints it or without its version")
    private String file;

    /** Version that the document is based on, null to use the one in the file or in force. */
    @Option(
        name = "--based-on",
        metaVar = "VERSION",
        usage = "base version of the document; by default that of the file or the one in force")
    private Long basedOn;

    /** Reason that is stored with the change. */
    @Option(name = "--reason", metaVar = "TEXT", usage = "reason for the change")
    private String reason = "put by an operator";

    /** Maximum time to wait until all hosts have the change in force, in seconds. */
    @Option(name = "--wait", metaVar = "SECONDS", usage = "maximum time to wait for all hosts")
    private int waitSeconds = 5;

    @Override
    int run(CommandContext context) {
      Optional<String> text = context.readFile(file);
      if (text.isEmpty()) {
        return ExitCode.BAD_INPUT;
      }
      VersionedFile versioned = VersionedFile.of(text.get());
      if (new ConfigurationLoader().load(versioned.document())
          instanceof DocumentOutcome.Rejected<ConfigurationDocument> rejected) {
        return context.failFaults(file, rejected);
      }
      return withBase(
          context,
          basedOn != null ? basedOn : versioned.version().orElse(null),
          base -> put(context, base, versioned));
    }

    private int put(CommandContext context, long base, VersionedFile versioned) {
      if (basedOn == null && versioned.version().isEmpty()) {
        context.printError(
            file
                + " contains no version, so the change is based on version "
                + base
                + ", which is in force");
      }
      String body =
          CommandContext.body(
              Map.of("basedOn", base, "document", parse(versioned.document()), "reason", reason));
      return putAndWait(context, context.client().put("/configuration", body), waitSeconds);
    }
  }

  /** Validates a document without contacting an entry host. */
  static final class Check extends Command {
    /** Name of the file with the document. */
    @Argument(required = true, metaVar = "FILE", usage = "document in JSON")
    private String file;

    @Override
    int run(CommandContext context) {
      Optional<String> text = context.readFile(file);
      if (text.isEmpty()) {
        return ExitCode.BAD_INPUT;
      }
      return switch (new ConfigurationLoader().load(VersionedFile.of(text.get()).document())) {
        case DocumentOutcome.Rejected<ConfigurationDocument> rejected ->
            context.failFaults(file, rejected);
        case DocumentOutcome.Accepted<ConfigurationDocument> accepted -> {
          context.print(file + ": valid, " + accepted.value().exceptions().size() + " exceptions");
          yield ExitCode.SUCCESS;
        }
      };
    }
  }

  /** Lists the retained versions. */
  static final class History extends Command {
    @Override
    int run(CommandContext context) {
      return context.handleQuery(
          context.client().get("/configuration/history"),
          new TypeReference<HistoryMessage>() {},
          history -> print(context, history));
    }

    private static void print(CommandContext context, HistoryMessage history) {
      Table table = new Table("VERSION", "AUTHOR", "FIELDS", "REASON");
      history
          .versions()
          .forEach(
              version ->
                  table.add(
                      version.version(), version.author(), version.changes(), version.reason()));
      table.print(context.environment().out());
    }
  }

  /** Shows the differences between two versions. */
  static final class Diff extends Command {
    /** Version to compare from. */
    @Argument(index = 0, required = true, metaVar = "A", usage = "the first version")
    private long before;

    /** Version to compare to. */
    @Argument(index = 1, required = true, metaVar = "B", usage = "the second version")
    private long after;

    @Override
    int run(CommandContext context) {
      return context.handleQuery(
          context.client().get("/configuration/diff?before=" + before + "&after=" + after),
          new TypeReference<DiffMessage>() {},
          diff -> diff.changes().forEach(change -> context.print(change.toString())));
    }
  }

  /** Puts an older version in force again. */
  static final class Rollback extends Command {
    /** Version to put in force again. */
    @Argument(required = true, metaVar = "VERSION", usage = "version to put in force again")
    private long version;

    /** Version that must be in force, null for the current one. */
    @Option(name = "--based-on", metaVar = "VERSION", usage = "version that must be in force")
    private Long basedOn;

    /** Reason that is stored with the change. */
    @Option(name = "--reason", required = true, metaVar = "TEXT", usage = "reason for the change")
    private String reason;

    /** Maximum time to wait until all hosts have the change in force, in seconds. */
    @Option(name = "--wait", metaVar = "SECONDS", usage = "maximum time to wait for all hosts")
    private int waitSeconds = 5;

    @Override
    int run(CommandContext context) {
      return withBase(
          context,
          basedOn,
          base ->
              putAndWait(
                  context,
                  context
                      .client()
                      .post(
                          "/configuration/rollback",
                          CommandContext.body(
                              Map.of("version", version, "basedOn", base, "reason", reason))),
                  waitSeconds));
    }
  }

  /** Runs {@code change} based on the given version, or on the one in force if null. */
  static int withBase(CommandContext context, Long given, Change change) {
    if (given != null) {
      return change.run(given);
    }
    ClientOutcome outcome = context.client().get("/configuration");
    if (outcome instanceof ClientOutcome.Answered answered && answered.isSuccess()) {
      return change.run(answered.body().path("version").asLong());
    }
    return context.handleQuery(outcome, new TypeReference<ConfigurationMessage>() {}, shown -> {});
  }

  /** Prints the outcome of a change and waits until all hosts have it in force. */
  static int putAndWait(CommandContext context, ClientOutcome outcome, int waitSeconds) {
    int code = context.handleChange(outcome, "the change", message -> {});
    if (code != ExitCode.SUCCESS || !(outcome instanceof ClientOutcome.Answered answered)) {
      return code;
    }
    OutcomeMessage message =
        OperatorJson.MAPPER.convertValue(answered.body(), OutcomeMessage.class);
    long version = message.version().orElse(0L);
    ClientOutcome report =
        context
            .client()
            .get(
                "/configuration/in-force?version="
                    + version
                    + "&deadlineMillis="
                    + waitSeconds * 1_000L);
    if (!(report instanceof ClientOutcome.Answered reported) || !reported.isSuccess()) {
      return context.fail(
          ExitCode.UNKNOWN,
          "version " + version + " is accepted, but the hosts where it is in force are unknown");
    }
    return showReport(
        context, OperatorJson.MAPPER.convertValue(reported.body(), InForceMessage.class));
  }

  private static int showReport(CommandContext context, InForceMessage report) {
    if (context.isJson()) {
      context.printJson(report);
    } else {
      context.print("version " + report.version() + " is accepted");
    }
    report
        .lagging()
        .forEach(
            (host, version) ->
                context.printError("host " + host + " lags, version in force: " + version));
    report.silent().forEach(host -> context.printError("host " + host + " did not answer"));
    if (!report.complete()) {
      return context.fail(
          ExitCode.UNKNOWN,
          "version " + report.version() + " is accepted, but not confirmed on all hosts");
    }
    if (!context.isJson()) {
      context.print("in force on all " + report.versions().size() + " hosts");
    }
    return ExitCode.SUCCESS;
  }

  private static JsonNode parse(String text) {
    try {
      return OperatorJson.MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a validated document cannot be parsed as JSON", e);
    }
  }

  /** A change that is based on a version. */
  @FunctionalInterface
  interface Change {
    /** Submits the change and returns the exit code. */
    int run(long basedOn);
  }

  /**
   * A document with the version that it is based on, if the file contains one.
   *
   * @param version base version, empty if the file does not contain it
   * @param document the document as JSON text, or the whole file if it is not JSON
   */
  record VersionedFile(Optional<Long> version, String document) {
    /** Separates the document from its version. */
    static VersionedFile of(String text) {
      try {
        JsonNode root = OperatorJson.MAPPER.readTree(text);
        return root != null && root.path("version").isIntegralNumber() && root.has("document")
            ? new VersionedFile(
                Optional.of(root.path("version").asLong()), root.path("document").toString())
            : new VersionedFile(Optional.empty(), text);
      } catch (JsonProcessingException e) {
        return new VersionedFile(Optional.empty(), text);
      }
    }
  }
}

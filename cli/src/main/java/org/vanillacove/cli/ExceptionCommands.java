package org.vanillacove.cli;

import com.fasterxml.jackson.core.type.TypeReference;
import com.google.common.net.UrlEscapers;
import com.google.common.primitives.Longs;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.vanillacove.protocol.configuration.ExceptionAudit;
import org.vanillacove.transport.operator.message.ExceptionMessage;

/** Commands that show and change exceptions from the fleet defaults. */
final class ExceptionCommands {
  private ExceptionCommands() {}

  /** Lists exceptions. */
  static final class ListExceptions extends Command {
    @Override
    int run(CommandContext context) {
      return context.handleQuery(
          context.client().get("/exceptions"),
          new TypeReference<List<ExceptionMessage>>() {},
          exceptions -> print(context, exceptions));
    }

    private static void print(CommandContext context, List<ExceptionMessage> exceptions) {
      for (ExceptionMessage exception : exceptions) {
        context.print(exception.name() + " (" + effect(exception.effect()) + ")");
        context.print(
            "  "
                + exception.field()
                + " = "
                + exception.value()
                + " for "
                + exception.scope()
                + ", otherwise "
                + exception.otherwise());
        context.print(
            "  owner "
                + exception.owner()
                + exception.expires().map(end -> ", expires " + end).orElse(""));
        context.print("  reason: " + exception.reason());
      }
      long idle =
          exceptions.stream().filter(e -> e.effect() != ExceptionAudit.Effect.IN_FORCE).count();
      context.print(exceptions.size() + " exceptions, " + idle + " without effect");
    }

    private static String effect(ExceptionAudit.Effect effect) {
      return switch (effect) {
        case IN_FORCE -> "in force";
        case EXPIRED -> "expired, no effect";
        case SAME_AS_DEFAULT -> "same as the default, no effect";
      };
    }
  }

  /** Adds an exception. */
  static final class Add extends Command {
    /** Unique name of the exception. */
    @Argument(required = true, metaVar = "NAME", usage = "unique name of the exception")
    private String name;

    /** Field of the defaults that is overridden. */
    @Option(
        name = "--field",
        required = true,
        metaVar = "FIELD",
        usage = "field to override, such as quota.cpuMillis")
    private String field;

    /** Value of the field within the scope, a number or a text. */
    @Option(
        name = "--value",
        required = true,
        metaVar = "VALUE",
        usage = "value of the field within the scope")
    private String value;

    /** Team that the scope is limited to, null for all. */
    @Option(name = "--team", metaVar = "TEAM", usage = "scope: a team")
    private String team;

    /** Region that the scope is limited to, null for all. */
    @Option(name = "--region", metaVar = "REGION", usage = "scope: a region")
    private String region;

    /** Kind of workload that the scope is limited to, null for all. */
    @Option(name = "--workload", metaVar = "KIND", usage = "scope: service, batch or gang")
    private String workload;

    /** Priority class that the scope is limited to, null for all. */
    @Option(name = "--class", metaVar = "CLASS", usage = "scope: urgent, normal or low")
    private String priority;

    /** Reason that is stored with the exception. */
    @Option(
        name = "--reason",
        required = true,
        metaVar = "TEXT",
        usage = "why the exception is needed")
    private String reason;

    /** Person or team responsible for the exception. */
    @Option(
        name = "--owner",
        required = true,
        metaVar = "NAME",
        usage = "person or team responsible for it")
    private String owner;

    /** ISO 8601 instant of expiry, null if the exception does not expire. */
    @Option(name = "--expires", metaVar = "TIME", usage = "expiry, such as 2026-12-24T00:00:00Z")
    private String expires;

    /** Version that must be in force, null for the current one. */
    @Option(name = "--based-on", metaVar = "VERSION", usage = "version that must be in force")
    private Long basedOn;

    @Override
    int run(CommandContext context) {
      Map<String, Object> scope = new LinkedHashMap<>();
      putIfGiven(scope, "team", team);
      putIfGiven(scope, "region", region);
      putIfGiven(scope, "workload", workload);
      putIfGiven(scope, "class", priority);
      Map<String, Object> exception = new LinkedHashMap<>();
      exception.put("name", name);
      exception.put("scope", scope);
      exception.put("field", field);
      Long number = Longs.tryParse(value);
      exception.put("value", number == null ? value : number);
      exception.put("reason", reason);
      exception.put("owner", owner);
      putIfGiven(exception, "expires", expires);
      return ConfigurationCommands.withBase(
          context,
          basedOn,
          base ->
              ConfigurationCommands.putAndWait(
                  context,
                  context
                      .client()
                      .post(
                          "/exceptions",
                          CommandContext.body(Map.of("basedOn", base, "exception", exception))),
                  5));
    }

    private static void putIfGiven(Map<String, Object> fields, String key, String text) {
      if (text != null) {
        fields.put(key, text);
      }
    }
  }

  /** Removes an exception. */
  static final class Remove extends Command {
    /** Unique name of the exception. */
    @Argument(required = true, metaVar = "NAME", usage = "name of the exception")
    private String name;

    /** Version that must be in force, null for the current one. */
    @Option(name = "--based-on", metaVar = "VERSION", usage = "version that must be in force")
    private Long basedOn;

    @Override
    int run(CommandContext context) {
      String path = "/exceptions/" + UrlEscapers.urlPathSegmentEscaper().escape(name);
      return ConfigurationCommands.withBase(
          context,
          basedOn,
          base ->
              ConfigurationCommands.putAndWait(
                  context, context.client().delete(path + "?basedOn=" + base), 5));
    }
  }
}

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

/** Commands on exceptions from the fleet defaults. */
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
      context.print(exceptions.size() + " exceptions, " + idle + " change nothing any more");
    }

    private static String effect(ExceptionAudit.Effect effect) {
      return switch (effect) {
        case IN_FORCE -> "in force";
        case EXPIRED -> "expired, changes nothing";
        case SAME_AS_DEFAULT -> "same as the default, changes nothing";
      };
    }
  }

  /** Adds an exception. */
  static final class Add extends Command {
    /** Name. */
    @Argument(required = true, metaVar = "NAME", usage = "unique name of the exception")
    private String name;

    /** Field. */
    @Option(name = "--field", required = true, metaVar = "FIELD", usage = "such as quota.cpuMillis")
    private String field;

    /** Value. */
    @Option(name = "--value", required = true, metaVar = "VALUE", usage = "value in the scope")
    private String value;

    /** Team. */
    @Option(name = "--team", metaVar = "TEAM", usage = "scope: a team")
    private String team;

    /** Region. */
    @Option(name = "--region", metaVar = "REGION", usage = "scope: a region")
    private String region;

    /** Kind of workload. */
    @Option(name = "--workload", metaVar = "KIND", usage = "scope: service, batch or gang")
    private String workload;

    /** Priority class. */
    @Option(name = "--class", metaVar = "CLASS", usage = "scope: urgent, normal or low")
    private String priority;

    /** Reason. */
    @Option(name = "--reason", required = true, metaVar = "TEXT", usage = "why it is needed")
    private String reason;

    /** Owner. */
    @Option(name = "--owner", required = true, metaVar = "NAME", usage = "who answers for it")
    private String owner;

    /** Expiry. */
    @Option(name = "--expires", metaVar = "TIME", usage = "such as 2026-12-24T00:00:00Z")
    private String expires;

    /** Base version. */
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
    /** Name. */
    @Argument(required = true, metaVar = "NAME", usage = "name of the exception")
    private String name;

    /** Base version. */
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

package org.vanillacove.cli;

import com.fasterxml.jackson.core.type.TypeReference;
import com.google.common.base.Joiner;
import com.google.common.net.UrlEscapers;
import java.io.IOException;
import java.nio.file.Files;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.kohsuke.args4j.Option;
import org.vanillacove.protocol.timeline.TimelineEvent;
import org.vanillacove.transport.operator.message.OperatorJson;
import org.vanillacove.transport.operator.message.TimelineMessage;

/** Prints the merged events of all hosts or writes them to an HTML report. */
final class TimelineCommand extends Command {
  /** Interval between two polls in follow mode. */
  private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

  /** Format of timestamps, in UTC with milliseconds. */
  private static final DateTimeFormatter TIME =
      DateTimeFormatter.ofPattern("uuuu-MM-dd'T'HH:mm:ss.SSS'Z'", Locale.ROOT)
          .withZone(ZoneOffset.UTC);

  /** Identifier of the job to filter by, null for no filter. */
  @Option(name = "--job", metaVar = "ID", usage = "events about a job")
  private String job;

  /** Identifier of the guest request to filter by, null for no filter. */
  @Option(name = "--request", metaVar = "ID", usage = "events about a guest's request")
  private String request;

  /** Identifier of the worker to filter by, null for no filter. */
  @Option(name = "--worker", metaVar = "ID", usage = "events about a worker")
  private String worker;

  /** Kinds of event to include, separated by commas; null for all. */
  @Option(name = "--kind", metaVar = "KIND,...", usage = "events of these kinds")
  private String kinds;

  /** Start of the time range, inclusive; null for no bound. */
  @Option(
      name = "--from",
      metaVar = "TIME",
      usage = "events at or after this time, ISO 8601 in UTC")
  private String from;

  /** End of the time range, exclusive; null for no bound. */
  @Option(name = "--until", metaVar = "TIME", usage = "events before this time")
  private String until;

  /** Maximum number of events per request. */
  @Option(name = "--limit", metaVar = "N", usage = "the newest N events")
  private int limit = 1_000;

  /** Whether to poll for new events until interrupted. */
  @Option(name = "--follow", usage = "print new events until interrupted")
  private boolean follow;

  /** Name of the HTML file to write, null to print events. */
  @Option(name = "--html", metaVar = "FILE", usage = "write an HTML report to this file")
  private String html;

  /** Sequence number of the newest printed event, by host. */
  private final Map<String, Long> shown = new TreeMap<>();

  @Override
  int run(CommandContext context) {
    Optional<String> query = query(context);
    if (query.isEmpty()) {
      return ExitCode.BAD_INPUT;
    }
    if (html != null) {
      return report(context, query.get());
    }
    int code = print(context, query.get());
    while (follow
        && code == ExitCode.SUCCESS
        && context.environment().pause().await(POLL_INTERVAL)) {
      code = print(context, query.get());
    }
    return code;
  }

  private int print(CommandContext context, String query) {
    String after =
        shown.isEmpty()
            ? ""
            : "&after=" + escape(Joiner.on(',').withKeyValueSeparator('=').join(shown));
    ClientOutcome outcome = context.client().get("/timeline" + query + after);
    if (!(outcome instanceof ClientOutcome.Answered answered) || !answered.isSuccess()) {
      return context.handleQuery(outcome, new TypeReference<TimelineMessage>() {}, message -> {});
    }
    TimelineMessage message =
        OperatorJson.MAPPER.convertValue(answered.body(), TimelineMessage.class);
    for (TimelineEvent event : message.events()) {
      shown.merge(event.hostId(), event.sequence(), Math::max);
      context.print(context.isJson() ? CommandContext.write(event, true) : line(event));
    }
    if (!follow) {
      message.missing().forEach(host -> context.printError("host " + host + " did not answer"));
    }
    return ExitCode.SUCCESS;
  }

  private int report(CommandContext context, String query) {
    ClientOutcome outcome = context.client().get("/timeline" + query);
    if (!(outcome instanceof ClientOutcome.Answered answered) || !answered.isSuccess()) {
      return context.handleQuery(outcome, new TypeReference<TimelineMessage>() {}, message -> {});
    }
    TimelineMessage message =
        OperatorJson.MAPPER.convertValue(answered.body(), TimelineMessage.class);
    try {
      Files.writeString(
          context.environment().directory().resolve(html), TimelineReport.html(message));
    } catch (IOException e) {
      return context.fail(ExitCode.BAD_INPUT, html + ": cannot be written");
    }
    context.print(html + ": " + message.events().size() + " events");
    return ExitCode.SUCCESS;
  }

  private Optional<String> query(CommandContext context) {
    List<String> about = new ArrayList<>();
    for (String id : new String[] {job, request, worker}) {
      if (id != null) {
        about.add(id);
      }
    }
    StringBuilder query = new StringBuilder("?limit=" + limit);
    if (!about.isEmpty()) {
      query.append("&about=").append(escape(String.join(",", about)));
    }
    if (kinds != null) {
      query.append("&kind=").append(escape(kinds));
    }
    try {
      if (from != null) {
        query.append("&from=").append(Instant.parse(from).toEpochMilli());
      }
      if (until != null) {
        query.append("&until=").append(Instant.parse(until).toEpochMilli());
      }
    } catch (DateTimeException e) {
      context.fail(ExitCode.BAD_INPUT, "--from, --until: " + e.getMessage());
      return Optional.empty();
    }
    return Optional.of(query.toString());
  }

  private static String line(TimelineEvent event) {
    return TIME.format(Instant.ofEpochMilli(event.atMillis()))
        + " "
        + event.hostId()
        + " "
        + event.kind()
        + " "
        + event.subject()
        + ": "
        + event.text();
  }

  private static String escape(String text) {
    return UrlEscapers.urlFormParameterEscaper().escape(text);
  }
}

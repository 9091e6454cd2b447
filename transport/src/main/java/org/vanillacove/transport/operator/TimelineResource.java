package org.vanillacove.transport.operator;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableSet;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.ServiceRequestContext;
import com.linecorp.armeria.server.annotation.Get;
import com.linecorp.armeria.server.annotation.Param;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.coordination.api.CellView;
import org.vanillacove.coordination.timeline.TimelineFilter;
import org.vanillacove.coordination.timeline.TimelineService;
import org.vanillacove.transport.operator.access.Principal;
import org.vanillacove.transport.operator.message.TimelineMessage;

/** HTTP resource for the merged timeline of all hosts. */
final class TimelineResource {
  /** Splits parameters that contain comma-separated lists. */
  private static final Splitter LIST_SPLITTER = Splitter.on(',').omitEmptyStrings().trimResults();

  /** Splits a cursor into the host identifier and the sequence number. */
  private static final Splitter CURSOR_SPLITTER = Splitter.on('=').limit(2);

  /** Merges the events of all hosts. */
  private final TimelineService service;

  /** State of the cell, used to look up the team of a job. */
  private final CellView view;

  TimelineResource(TimelineService service, CellView view) {
    this.service = service;
    this.view = view;
  }

  @Get("/timeline")
  public CompletableFuture<HttpResponse> timeline(
      ServiceRequestContext context,
      @Param("from") Optional<String> from,
      @Param("until") Optional<String> until,
      @Param("about") Optional<String> about,
      @Param("kind") Optional<String> kind,
      @Param("limit") Optional<String> limit,
      @Param("after") Optional<String> after) {
    List<String> subjects = LIST_SPLITTER.splitToList(about.orElse(""));
    if (!maySee(AccessDecorator.principal(context), subjects)) {
      return CompletableFuture.completedFuture(
          Responses.refused(
              HttpStatus.FORBIDDEN,
              "about",
              "a token limited to a team must name a job of that team"));
    }
    TimelineFilter filter =
        new TimelineFilter(
            Responses.parseNonNegative(from, "from", 0),
            Responses.parseNonNegative(until, "until", 0),
            subjects,
            ImmutableSet.copyOf(LIST_SPLITTER.splitToList(kind.orElse(""))),
            (int)
                Math.min(
                    TimelineFilter.MAX_EVENTS, Responses.parseNonNegative(limit, "limit", 1_000)),
            cursors(after.orElse("")));
    return service
        .merged(filter)
        .thenApply(
            merged ->
                Responses.ok(
                    new TimelineMessage(merged.events(), merged.missing(), merged.dropped())));
  }

  private boolean maySee(Principal principal, List<String> subjects) {
    return principal.team().isEmpty()
        || subjects.stream()
            .map(view::job)
            .flatMap(Optional::stream)
            .anyMatch(job -> principal.mayActFor(job.spec().team()));
  }

  private static Map<String, Long> cursors(String text) {
    Map<String, Long> cursors = new HashMap<>();
    for (String part : LIST_SPLITTER.split(text)) {
      List<String> pair = CURSOR_SPLITTER.splitToList(part);
      if (pair.size() != 2) {
        throw new InvalidParameterException("after", "must be HOST=NUMBER: " + part);
      }
      cursors.put(pair.get(0), Responses.parseNonNegative(Optional.of(pair.get(1)), "after", 0));
    }
    return cursors;
  }
}

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

/** The time line of all hosts. */
final class TimelineResource {
  /** Parts lists in parameters. */
  private static final Splitter LIST = Splitter.on(',').omitEmptyStrings().trimResults();

  /** Parts a host from its sequence number. */
  private static final Splitter CURSOR = Splitter.on('=').limit(2);

  /** Events of all hosts. */
  private final TimelineService service;

  /** The folded state, for the teams of jobs. */
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
    List<String> subjects = LIST.splitToList(about.orElse(""));
    if (!maySee(AccessDecorator.principal(context), subjects)) {
      return CompletableFuture.completedFuture(
          Responses.refused(
              HttpStatus.FORBIDDEN,
              "about",
              "a token limited to a team must name a job of that team"));
    }
    TimelineFilter filter =
        new TimelineFilter(
            Responses.number(from, "from", 0),
            Responses.number(until, "until", 0),
            subjects,
            ImmutableSet.copyOf(LIST.splitToList(kind.orElse(""))),
            (int) Math.min(TimelineFilter.MAX_EVENTS, Responses.number(limit, "limit", 1_000)),
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
    for (String part : LIST.split(text)) {
      List<String> pair = CURSOR.splitToList(part);
      if (pair.size() != 2) {
        throw new BadParameterException("after", "must be HOST=NUMBER: " + part);
      }
      cursors.put(pair.get(0), Responses.number(Optional.of(pair.get(1)), "after", 0));
    }
    return cursors;
  }
}

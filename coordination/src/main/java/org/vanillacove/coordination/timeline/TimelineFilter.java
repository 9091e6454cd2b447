package org.vanillacove.coordination.timeline;

import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.vanillacove.protocol.timeline.TimelineEvent;

/**
 * Selects timeline events.
 *
 * @param fromMillis minimum wall time of an event in milliseconds, zero for no minimum
 * @param untilMillis wall time in milliseconds that events must precede, zero for no end
 * @param about identifiers that the subject or the text of an event must all mention
 * @param kinds kinds of event to select, empty for all
 * @param limit maximum number of events; the newest are selected
 * @param afterSequence sequence number that events must exceed, by host identifier
 */
public record TimelineFilter(
    long fromMillis,
    long untilMillis,
    List<String> about,
    Set<String> kinds,
    int limit,
    Map<String, Long> afterSequence) {
  /** Maximum number of events that one query returns. */
  public static final int MAX_EVENTS = 10_000;

  /** Selects the newest events of all kinds, up to {@link #MAX_EVENTS}. */
  public static final TimelineFilter ALL =
      new TimelineFilter(0, 0, List.of(), Set.of(), MAX_EVENTS, Map.of());

  /** Splits the text of an event into words. */
  private static final Splitter WORDS =
      Splitter.on(CharMatcher.anyOf(" ,;:=()[]\"'")).omitEmptyStrings();

  /** Copies the collections and clamps the limit to the allowed range. */
  public TimelineFilter {
    about = List.copyOf(about);
    kinds = Set.copyOf(kinds);
    limit = Math.clamp(limit, 1, MAX_EVENTS);
    afterSequence = Map.copyOf(afterSequence);
  }

  /** Returns whether {@code event} is selected, regardless of the limit. */
  public boolean selects(TimelineEvent event) {
    return event.atMillis() >= fromMillis
        && (untilMillis == 0 || event.atMillis() < untilMillis)
        && (kinds.isEmpty() || kinds.contains(event.kind()))
        && event.sequence() > afterSequence.getOrDefault(event.hostId(), Long.MIN_VALUE)
        && about.stream().allMatch(id -> isAbout(event, id));
  }

  private static boolean isAbout(TimelineEvent event, String id) {
    return isIdOrPathPrefix(event.subject(), id)
        || WORDS.splitToStream(event.text()).anyMatch(word -> isIdOrPathPrefix(word, id));
  }

  private static boolean isIdOrPathPrefix(String name, String id) {
    return name.equals(id) || (name.startsWith(id) && name.charAt(id.length()) == '/');
  }
}

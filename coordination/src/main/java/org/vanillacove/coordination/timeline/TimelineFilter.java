package org.vanillacove.coordination.timeline;

import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.vanillacove.protocol.timeline.TimelineEvent;

/**
 * Selects events of the time line.
 *
 * @param fromMillis wall time of the first event in milliseconds, zero for all
 * @param untilMillis wall time before which the last event lies in milliseconds, zero for all
 * @param about identifiers that an event must be about, every one of them
 * @param kinds kinds of event, none for all
 * @param limit most events, the newest ones
 * @param afterSequence only events with a higher sequence number, by host
 */
public record TimelineFilter(
    long fromMillis,
    long untilMillis,
    List<String> about,
    Set<String> kinds,
    int limit,
    Map<String, Long> afterSequence) {
  /** Most events that one query returns. */
  public static final int MAX_EVENTS = 10_000;

  /** Selects the newest events. */
  public static final TimelineFilter ALL =
      new TimelineFilter(0, 0, List.of(), Set.of(), MAX_EVENTS, Map.of());

  /** Parts words of a text. */
  private static final Splitter WORDS =
      Splitter.on(CharMatcher.anyOf(" ,;:=()[]\"'")).omitEmptyStrings();

  /** Copies the collections and bounds the limit. */
  public TimelineFilter {
    about = List.copyOf(about);
    kinds = Set.copyOf(kinds);
    limit = Math.clamp(limit, 1, MAX_EVENTS);
    afterSequence = Map.copyOf(afterSequence);
  }

  /** Returns whether {@code event} is selected; the limit is not looked at. */
  public boolean selects(TimelineEvent event) {
    return event.atMillis() >= fromMillis
        && (untilMillis == 0 || event.atMillis() < untilMillis)
        && (kinds.isEmpty() || kinds.contains(event.kind()))
        && event.sequence() > afterSequence.getOrDefault(event.hostId(), Long.MIN_VALUE)
        && about.stream().allMatch(id -> isAbout(event, id));
  }

  private static boolean isAbout(TimelineEvent event, String id) {
    return isPartOf(event.subject(), id)
        || WORDS.splitToStream(event.text()).anyMatch(word -> isPartOf(word, id));
  }

  private static boolean isPartOf(String name, String id) {
    return name.equals(id) || (name.startsWith(id) && name.charAt(id.length()) == '/');
  }
}

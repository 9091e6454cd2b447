package org.vanillacove.coordination.timeline;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.coordination.operator.OperatorChannel;
import org.vanillacove.protocol.generated.OperatorQuery;
import org.vanillacove.protocol.generated.TimelineEventMessage;
import org.vanillacove.protocol.generated.TimelineQuery;
import org.vanillacove.protocol.generated.TimelineReply;
import org.vanillacove.protocol.timeline.TimelineEvent;

/** Merges the timeline events of all entry hosts into one order; thread-safe. */
public final class TimelineService {
  /** Order of the merged events: by wall time, then host, then sequence number. */
  private static final Comparator<TimelineEvent> ORDER =
      Comparator.comparingLong(TimelineEvent::atMillis)
          .thenComparing(TimelineEvent::hostId)
          .thenComparingLong(TimelineEvent::sequence);

  /** Stores the events of this host. */
  private final RingTimelineRecorder recorder;

  /** Queries the other hosts for their events. */
  private final OperatorChannel channel;

  /** Creates the service; from now on this host answers queries with {@code recorder}'s events. */
  public TimelineService(RingTimelineRecorder recorder, OperatorChannel channel) {
    this.recorder = recorder;
    this.channel = channel;
    channel.setTimelineHandler(query -> reply(recorder, query));
  }

  /**
   * Merged events of all hosts.
   *
   * @param events the events in order of wall time, then host, then sequence number
   * @param missing hosts that did not answer in time
   * @param dropped number of old events that the hosts dropped to stay within their limits
   */
  public record MergedTimeline(List<TimelineEvent> events, List<String> missing, long dropped) {
    /** Copies the lists. */
    public MergedTimeline {
      events = List.copyOf(events);
      missing = List.copyOf(missing);
    }
  }

  /** Collects the events that {@code filter} selects from all entry hosts. */
  public CompletableFuture<MergedTimeline> merged(TimelineFilter filter) {
    OperatorQuery query = OperatorQuery.newBuilder().setTimeline(toMessage(filter)).build();
    return channel.queryAll(query).thenApply(answers -> merge(answers, filter));
  }

  private MergedTimeline merge(List<OperatorChannel.HostReply> answers, TimelineFilter filter) {
    List<TimelineEvent> events = new ArrayList<>(recorder.select(filter));
    List<String> missing = new ArrayList<>();
    long dropped = recorder.dropped();
    for (OperatorChannel.HostReply answer : answers) {
      Optional<TimelineReply> reply = answer.parse(TimelineReply.parser());
      if (reply.isEmpty()) {
        missing.add(answer.hostId());
      } else {
        reply.get().getEventsList().forEach(e -> events.add(toEvent(answer.hostId(), e)));
        dropped += reply.get().getDropped();
      }
    }
    events.sort(ORDER);
    int first = Math.max(0, events.size() - filter.limit());
    return new MergedTimeline(events.subList(first, events.size()), missing, dropped);
  }

  private static TimelineReply reply(RingTimelineRecorder recorder, TimelineQuery query) {
    TimelineReply.Builder reply = TimelineReply.newBuilder().setDropped(recorder.dropped());
    recorder.select(toFilter(query)).forEach(event -> reply.addEvents(toEventMessage(event)));
    return reply.build();
  }

  private static TimelineQuery toMessage(TimelineFilter filter) {
    return TimelineQuery.newBuilder()
        .setFromMillis(filter.fromMillis())
        .setUntilMillis(filter.untilMillis())
        .addAllAbout(filter.about())
        .addAllKinds(filter.kinds())
        .setLimit(filter.limit())
        .putAllAfterSequence(filter.afterSequence())
        .build();
  }

  private static TimelineFilter toFilter(TimelineQuery query) {
    return new TimelineFilter(
        query.getFromMillis(),
        query.getUntilMillis(),
        query.getAboutList(),
        ImmutableSet.copyOf(query.getKindsList()),
        query.getLimit(),
        query.getAfterSequenceMap());
  }

  private static TimelineEventMessage toEventMessage(TimelineEvent event) {
    return TimelineEventMessage.newBuilder()
        .setAtMillis(event.atMillis())
        .setSequence(event.sequence())
        .setKind(event.kind())
        .setSubject(event.subject())
        .setText(event.text())
        .build();
  }

  private static TimelineEvent toEvent(String hostId, TimelineEventMessage message) {
    return new TimelineEvent(
        message.getAtMillis(),
        hostId,
        message.getSequence(),
        message.getKind(),
        message.getSubject(),
        message.getText());
  }
}

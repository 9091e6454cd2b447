package org.vanillacove.coordination.timeline;

import com.google.common.base.Ascii;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;
import org.vanillacove.protocol.timeline.TimelineEvent;
import org.vanillacove.protocol.timeline.TimelineRecorder;
import org.vanillacove.protocol.timer.TimerService;

/** Keeps the newest events of one host in shards with a lock each; thread-safe. */
public final class RingTimelineRecorder implements TimelineRecorder {
  /** Number of shards, which lets concurrent writers use different locks. */
  private static final int SHARDS = 8;

  /** Maximum length of an event's text in characters; longer ones are truncated. */
  private static final int MAX_TEXT_CHARACTERS = 400;

  /** Maximum length of an event's subject in characters; longer ones are truncated. */
  private static final int MAX_SUBJECT_CHARACTERS = 120;

  /** Identifier of this host, set in every event. */
  private final String hostId;

  /** Source of the wall time of events. */
  private final TimerService timer;

  /**
   * Sequence number of the newest event. It starts at the wall time in milliseconds, so that it
   * keeps increasing over restarts.
   */
  private final AtomicLong sequence;

  /** Number of old events dropped to stay within the limit. */
  private final AtomicLong dropped = new AtomicLong();

  /** Shards, chosen by sequence number. */
  private final List<Shard> shards = new ArrayList<>();

  /** Maximum number of events in one shard. */
  private volatile int shardLimit;

  /** Creates an empty recorder that keeps about {@code limit} events. */
  public RingTimelineRecorder(String hostId, TimerService timer, int limit) {
    this.hostId = hostId;
    this.timer = timer;
    this.sequence = new AtomicLong(timer.wallMillis());
    for (int i = 0; i < SHARDS; i++) {
      shards.add(new Shard());
    }
    setLimit(limit);
  }

  /** Sets the number of events to keep; a lower limit takes effect with the next events. */
  public void setLimit(int limit) {
    shardLimit = Math.max(1, limit / SHARDS);
  }

  @Override
  public void record(String kind, String subject, String text) {
    long number = sequence.incrementAndGet();
    TimelineEvent event =
        new TimelineEvent(
            timer.wallMillis(),
            hostId,
            number,
            kind,
            Ascii.truncate(subject, MAX_SUBJECT_CHARACTERS, "..."),
            Ascii.truncate(text, MAX_TEXT_CHARACTERS, "..."));
    Shard shard = shards.get((int) (number % SHARDS));
    shard.lock.lock();
    try {
      shard.events.addLast(event);
      while (shard.events.size() > shardLimit) {
        shard.events.removeFirst();
        dropped.incrementAndGet();
      }
    } finally {
      shard.lock.unlock();
    }
  }

  /** Returns the newest events that {@code filter} selects, oldest first. */
  public List<TimelineEvent> select(TimelineFilter filter) {
    List<TimelineEvent> selected = new ArrayList<>();
    for (Shard shard : shards) {
      shard.lock.lock();
      try {
        shard.events.stream().filter(filter::selects).forEach(selected::add);
      } finally {
        shard.lock.unlock();
      }
    }
    selected.sort(Comparator.comparingLong(TimelineEvent::sequence));
    return selected.subList(Math.max(0, selected.size() - filter.limit()), selected.size());
  }

  /** Returns the number of old events dropped to stay within the limit. */
  public long dropped() {
    return dropped.get();
  }

  /** Part of the events, guarded by its own lock. */
  private static final class Shard {
    /** Held while the events are read or changed. */
    private final ReentrantLock lock = new ReentrantLock();

    /** Newest events, oldest first. */
    private final Deque<TimelineEvent> events = new ArrayDeque<>();
  }
}

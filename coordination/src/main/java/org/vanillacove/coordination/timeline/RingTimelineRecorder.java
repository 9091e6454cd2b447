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
  /** Number of shards. */
  private static final int SHARDS = 8;

  /** Longest text of an event in characters. */
  private static final int MAX_TEXT_CHARACTERS = 400;

  /** Longest subject of an event in characters. */
  private static final int MAX_SUBJECT_CHARACTERS = 120;

  /** Host on which the events happen. */
  private final String hostId;

  /** Source of wall time. */
  private final TimerService timer;

  /** Sequence number of the newest event; starts at the wall time so that it outgrows restarts. */
  private final AtomicLong sequence;

  /** Number of events that were dropped to stay within the bound. */
  private final AtomicLong dropped = new AtomicLong();

  /** Shards, chosen by sequence number. */
  private final List<Shard> shards = new ArrayList<>();

  /** Most events that one shard keeps. */
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

  /** Sets the number of events to keep; a lower one takes hold as further events come. */
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

  /** Returns the number of events that were dropped to stay within the bound. */
  public long dropped() {
    return dropped.get();
  }

  /** Events under one lock. */
  private static final class Shard {
    /** Guards the events. */
    private final ReentrantLock lock = new ReentrantLock();

    /** Newest events, oldest first. */
    private final Deque<TimelineEvent> events = new ArrayDeque<>();
  }
}

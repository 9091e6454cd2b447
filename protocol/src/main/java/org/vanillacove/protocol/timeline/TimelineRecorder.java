package org.vanillacove.protocol.timeline;

/** Records events of the timeline. */
@FunctionalInterface
public interface TimelineRecorder {
  /** Records an event; the parameters are those of {@link TimelineEvent}. */
  void record(String kind, String subject, String text);
}

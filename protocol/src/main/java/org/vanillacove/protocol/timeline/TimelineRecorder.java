package org.vanillacove.protocol.timeline;

/** Takes events for the time line. */
@FunctionalInterface
public interface TimelineRecorder {
  /** Records an event; kind, subject and text as in {@link TimelineEvent}. */
  void record(String kind, String subject, String text);
}

package org.vanillacove.protocol.timeline;

/**
 * An event of the timeline, which operators query.
 *
 * @param atMillis wall time in milliseconds since the Unix epoch
 * @param hostId identifier of the host that recorded it
 * @param sequence sequence number of the event on that host
 * @param kind kind of event, in lower case with dashes
 * @param subject identifier of the job, task, worker, request or version concerned
 * @param text short sentence for people
 */
public record TimelineEvent(
    long atMillis, String hostId, long sequence, String kind, String subject, String text) {}

package org.vanillacove.protocol.timeline;

/**
 * An event of the time line.
 *
 * @param atMillis wall time in milliseconds since the Unix epoch
 * @param hostId host on which it happened
 * @param sequence number of the event on that host
 * @param kind kind of event, lower case with dashes
 * @param subject identifier of the job, task, worker, request or version concerned
 * @param text short readable sentence
 */
public record TimelineEvent(
    long atMillis, String hostId, long sequence, String kind, String subject, String text) {}

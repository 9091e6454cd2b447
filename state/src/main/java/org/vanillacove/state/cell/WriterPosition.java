package org.vanillacove.state.cell;

/**
 * The newest record of a writer.
 *
 * @param sequence sequence number of the record among the writer's
 * @param offset offset of the record
 */
public record WriterPosition(long sequence, long offset) {}

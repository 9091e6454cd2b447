package org.vanillacove.state.cell;

/**
 * Position of the newest record of a writer, by which duplicates are detected.
 *
 * @param sequence sequence number that the writer gave the record
 * @param offset log offset of the record
 */
public record WriterPosition(long sequence, long offset) {}

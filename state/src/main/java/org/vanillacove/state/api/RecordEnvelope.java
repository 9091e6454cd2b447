package org.vanillacove.state.api;

/**
 * A record with the epoch and the identifier that decide whether it is applied.
 *
 * @param proposalId identifier that a repeated append reuses, so that duplicates are detected
 * @param epoch leadership epoch of the author, zero for records that need no leader
 * @param author identifier of the host that wrote the record
 * @param record the change
 */
public record RecordEnvelope(String proposalId, long epoch, String author, CellRecord record) {}

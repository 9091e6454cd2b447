package org.vanillacove.state.api;

/**
 * A record with what decides whether it counts.
 *
 * @param proposalId identifier that stays the same when an append is repeated
 * @param epoch leadership epoch of the author, zero for records that need no leader
 * @param author identifier of the host that wrote it
 * @param record the change
 */
public record RecordEnvelope(String proposalId, long epoch, String author, CellRecord record) {}

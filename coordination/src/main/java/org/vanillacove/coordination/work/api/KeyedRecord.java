package org.vanillacove.coordination.work.api;

import com.google.protobuf.ByteString;

/**
 * The latest record of a key.
 *
 * @param key key of the record, with the prefix of its kind
 * @param value complete state of the key; empty removes it
 */
public record KeyedRecord(String key, ByteString value) {}

package org.vanillacove.coordination.work.api;

import com.google.protobuf.ByteString;

/**
 * The newest record of a key.
 *
 * @param key the key
 * @param value its whole state; empty removes the key
 */
public record KeyedRecord(String key, ByteString value) {}

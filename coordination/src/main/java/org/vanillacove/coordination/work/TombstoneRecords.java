package org.vanillacove.coordination.work;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.UUID;
import org.vanillacove.protocol.generated.WorkTombstoneMessage;

/** Encodes and decodes the durable records of tombstones. */
final class TombstoneRecords {
  /** Key prefix of the records. */
  static final String PREFIX = "tombstone/";

  private TombstoneRecords() {}

  /** Returns the key of a tombstone's record; its length doesn't depend on the organisation. */
  static String key(Tombstones.Tombstone tombstone) {
    String suffix =
        tombstone
            .organisation()
            .map(name -> "/" + UUID.nameUUIDFromBytes(name.getBytes(StandardCharsets.UTF_8)))
            .orElse("");
    return PREFIX + tombstone.job() + suffix;
  }

  /** Encodes a tombstone. */
  static ByteString encode(Tombstones.Tombstone tombstone) {
    return WorkTombstoneMessage.newBuilder()
        .setId(tombstone.job())
        .setOrganisation(tombstone.organisation().orElse(""))
        .build()
        .toByteString();
  }

  /** Returns the tombstone in a record, or empty if the record is malformed. */
  static Optional<Tombstones.Tombstone> parse(ByteString bytes) {
    try {
      WorkTombstoneMessage message = WorkTombstoneMessage.parseFrom(bytes);
      return Optional.of(
          new Tombstones.Tombstone(
              message.getId(), JobRecords.organisation(message.getOrganisation())));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }
}

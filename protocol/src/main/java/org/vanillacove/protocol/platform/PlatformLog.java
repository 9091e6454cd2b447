package org.vanillacove.protocol.platform;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's append-only log. */
public interface PlatformLog {
  /** Appends records in order as one step; the future always completes normally. */
  CompletableFuture<AppendOutcome> append(List<ByteString> records);

  /** Reads at most {@code maxRecords} from {@code fromOffset}; the future completes normally. */
  CompletableFuture<ReadOutcome> read(long fromOffset, int maxRecords);
}

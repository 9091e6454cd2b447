package org.vanillacove.protocol.platform;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Client of the platform's append-only log. */
public interface PlatformLog {
  /** Appends records atomically and in order; the future always completes normally. */
  CompletableFuture<AppendOutcome> append(List<ByteString> records);

  /** Reads up to {@code maxRecords} from {@code fromOffset}; the future completes normally. */
  CompletableFuture<ReadOutcome> read(long fromOffset, int maxRecords);
}

package org.vanillacove.bench.config;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.vanillacove.protocol.platform.AppendOutcome;
import org.vanillacove.protocol.platform.PlatformLog;
import org.vanillacove.protocol.platform.ReadOutcome;

/** Counts the bytes that are appended to a log; thread-safe. */
final class CountingLog implements PlatformLog {
  /** The log. */
  private final PlatformLog log;

  /** Bytes appended so far, repeated appends among them. */
  private final AtomicLong bytes = new AtomicLong();

  CountingLog(PlatformLog log) {
    this.log = log;
  }

  @Override
  public CompletableFuture<AppendOutcome> append(List<ByteString> records) {
    records.forEach(record -> bytes.addAndGet(record.size()));
    return log.append(records);
  }

  @Override
  public CompletableFuture<ReadOutcome> read(long fromOffset, int maxRecords) {
    return log.read(fromOffset, maxRecords);
  }

  /** Returns the bytes appended so far. */
  long bytes() {
    return bytes.get();
  }
}

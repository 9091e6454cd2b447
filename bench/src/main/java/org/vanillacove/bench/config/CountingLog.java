package org.vanillacove.bench.config;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.vanillacove.protocol.platform.AppendOutcome;
import org.vanillacove.protocol.platform.PlatformLog;
import org.vanillacove.protocol.platform.ReadOutcome;

/** Log that counts the bytes appended to its delegate; thread-safe. */
final class CountingLog implements PlatformLog {
  /** Log that stores the records. */
  private final PlatformLog delegate;

  /** Bytes appended so far, including repeated and failed appends. */
  private final AtomicLong appendedBytes = new AtomicLong();

  CountingLog(PlatformLog log) {
    this.delegate = log;
  }

  @Override
  public CompletableFuture<AppendOutcome> append(List<ByteString> records) {
    records.forEach(record -> appendedBytes.addAndGet(record.size()));
    return delegate.append(records);
  }

  @Override
  public CompletableFuture<ReadOutcome> read(long fromOffset, int maxRecords) {
    return delegate.read(fromOffset, maxRecords);
  }

  /** Returns the bytes appended so far, including repeated and failed appends. */
  long appendedBytes() {
    return appendedBytes.get();
  }
}

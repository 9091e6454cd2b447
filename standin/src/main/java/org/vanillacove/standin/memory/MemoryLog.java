package org.vanillacove.standin.memory;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.protocol.platform.AppendOutcome;
import org.vanillacove.protocol.platform.PlatformLog;
import org.vanillacove.protocol.platform.ReadOutcome;

/** An append-only log in memory with retention and faults; thread-safe. */
public final class MemoryLog implements PlatformLog {
  /** Retained records, oldest first. */
  private final ArrayDeque<ByteString> records = new ArrayDeque<>();

  /** Offset of the oldest retained record. */
  private long oldestOffset;

  /** Fault in effect; set by tests. */
  private Fault fault = Fault.NONE;

  /** Number of next appends that are stored and reported as an unknown outcome. */
  private int answersToLose;

  /** Number of append calls whose records were stored. */
  private long appendCalls;

  /** Faults that stay in effect until changed. */
  public enum Fault {
    /** Calls succeed. */
    NONE,
    /** Every call is rejected and stores nothing. */
    REFUSING,
    /** Appends store nothing and have an unknown outcome; reads fail. */
    SILENT,
    /** Appends are stored, but their outcome is unknown to the caller. */
    LOSING_ANSWERS
  }

  @Override
  public synchronized CompletableFuture<AppendOutcome> append(List<ByteString> appended) {
    return switch (fault) {
      case REFUSING -> completed(new AppendOutcome.Refused("log is down"));
      case SILENT -> completed(new AppendOutcome.Unknown("no answer"));
      case LOSING_ANSWERS -> {
        store(appended);
        yield completed(new AppendOutcome.Unknown("answer lost"));
      }
      case NONE -> completed(storeAndAnswer(appended));
    };
  }

  @Override
  public synchronized CompletableFuture<ReadOutcome> read(long fromOffset, int maxRecords) {
    if (fault == Fault.REFUSING || fault == Fault.SILENT) {
      return completed(new ReadOutcome.Unavailable("log is down"));
    }
    if (fromOffset < oldestOffset) {
      return completed(new ReadOutcome.Trimmed(oldestOffset));
    }
    List<ByteString> batch =
        records.stream().skip(fromOffset - oldestOffset).limit(maxRecords).toList();
    return completed(new ReadOutcome.Batch(fromOffset, batch, endOffset()));
  }

  /** Sets the fault that is in effect from now on. */
  public synchronized void setFault(Fault newFault) {
    fault = newFault;
  }

  /** Makes the next {@code count} appends store their records with an unknown outcome. */
  public synchronized void loseResponses(int count) {
    answersToLose = count;
  }

  /** Removes all records before {@code offset}. */
  public synchronized void trim(long offset) {
    while (oldestOffset < offset && !records.isEmpty()) {
      records.removeFirst();
      oldestOffset++;
    }
  }

  /** Returns the offset one past the newest record. */
  public synchronized long endOffset() {
    return oldestOffset + records.size();
  }

  /** Returns the offset of the oldest retained record. */
  public synchronized long oldestOffset() {
    return oldestOffset;
  }

  /** Returns the number of append calls whose records were stored. */
  public synchronized long appendCalls() {
    return appendCalls;
  }

  private AppendOutcome storeAndAnswer(List<ByteString> appended) {
    long first = store(appended);
    AppendOutcome outcome = new AppendOutcome.Appended(first);
    if (answersToLose > 0) {
      answersToLose--;
      outcome = new AppendOutcome.Unknown("answer lost");
    }
    return outcome;
  }

  private long store(List<ByteString> appended) {
    long first = endOffset();
    records.addAll(appended);
    appendCalls++;
    return first;
  }

  private static <T> CompletableFuture<T> completed(T value) {
    return CompletableFuture.completedFuture(value);
  }
}

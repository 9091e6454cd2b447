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
  /** Kept records. */
  private final ArrayDeque<ByteString> records = new ArrayDeque<>();

  /** Offset of the oldest kept record. */
  private long oldestOffset;

  /** How the log behaves now. */
  private Fault fault = Fault.NONE;

  /** Appends that still lose their answer. */
  private int answersToLose;

  /** Number of append calls that took effect. */
  private long appendCalls;

  /** Faults that last until changed. */
  public enum Fault {
    /** Works. */
    NONE,
    /** Every call is refused; nothing takes effect. */
    REFUSING,
    /** No call is answered; nothing takes effect. */
    SILENT,
    /** Appends take effect, but their answers are lost. */
    LOSING_ANSWERS
  }

  @Override
  public synchronized CompletableFuture<AppendOutcome> append(List<ByteString> appended) {
    return switch (fault) {
      case REFUSING -> done(new AppendOutcome.Refused("log is down"));
      case SILENT -> done(new AppendOutcome.Unknown("no answer"));
      case LOSING_ANSWERS -> {
        store(appended);
        yield done(new AppendOutcome.Unknown("answer lost"));
      }
      case NONE -> done(storeAndAnswer(appended));
    };
  }

  @Override
  public synchronized CompletableFuture<ReadOutcome> read(long fromOffset, int maxRecords) {
    if (fault == Fault.REFUSING || fault == Fault.SILENT) {
      return done(new ReadOutcome.Unavailable("log is down"));
    }
    if (fromOffset < oldestOffset) {
      return done(new ReadOutcome.Trimmed(oldestOffset));
    }
    List<ByteString> batch =
        records.stream().skip(fromOffset - oldestOffset).limit(maxRecords).toList();
    return done(new ReadOutcome.Batch(fromOffset, batch, endOffset()));
  }

  /** Sets how the log behaves from now on. */
  public synchronized void setFault(Fault newFault) {
    fault = newFault;
  }

  /** Makes the next {@code count} appends take effect but lose their answers. */
  public synchronized void loseAnswers(int count) {
    answersToLose = count;
  }

  /** Drops all records before {@code offset}. */
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

  /** Returns the offset of the oldest kept record. */
  public synchronized long oldestOffset() {
    return oldestOffset;
  }

  /** Returns how many append calls took effect. */
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

  private static <T> CompletableFuture<T> done(T value) {
    return CompletableFuture.completedFuture(value);
  }
}

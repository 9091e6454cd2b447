package org.vanillacove.protocol.document;

import java.util.List;
import java.util.function.Function;

/**
 * Outcome of reading a document.
 *
 * @param <T> type of the value that is read
 */
public sealed interface DocumentOutcome<T> {
  /** Applies the next step of reading to an accepted value; faults are passed on. */
  default <U> DocumentOutcome<U> then(Function<T, DocumentOutcome<U>> next) {
    return switch (this) {
      case Accepted<T> accepted -> next.apply(accepted.value());
      case Rejected<T> rejected -> new Rejected<>(rejected.faults());
    };
  }

  /**
   * The document is sound.
   *
   * @param value what was read
   * @param <T> type of the value
   */
  record Accepted<T>(T value) implements DocumentOutcome<T> {}

  /**
   * The document is refused whole.
   *
   * @param faults all faults, by field
   * @param <T> type of the value that would have been read
   */
  record Rejected<T>(List<FieldFault> faults) implements DocumentOutcome<T> {
    /** Sorts the faults. */
    public Rejected {
      faults = faults.stream().distinct().sorted().toList();
    }
  }

  /** Returns {@code value} if there are no faults. */
  static <T> DocumentOutcome<T> of(T value, List<FieldFault> faults) {
    return faults.isEmpty() ? new Accepted<>(value) : new Rejected<>(faults);
  }
}

package org.vanillacove.protocol.document;

import java.util.List;
import java.util.function.Function;

/**
 * Outcome of reading a document: either a value or the faults found.
 *
 * @param <T> type of the value that is read
 */
public sealed interface DocumentOutcome<T> {
  /** Applies the next step to an accepted value; the faults of a rejected one are passed on. */
  default <U> DocumentOutcome<U> flatMap(Function<T, DocumentOutcome<U>> next) {
    return switch (this) {
      case Accepted<T> accepted -> next.apply(accepted.value());
      case Rejected<T> rejected -> new Rejected<>(rejected.faults());
    };
  }

  /**
   * The document is valid.
   *
   * @param value value that was read
   * @param <T> type of the value
   */
  record Accepted<T>(T value) implements DocumentOutcome<T> {}

  /**
   * The document is rejected as a whole.
   *
   * @param faults all distinct faults, ordered by field
   * @param <T> type of the value that would have been read
   */
  record Rejected<T>(List<FieldFault> faults) implements DocumentOutcome<T> {
    /** Removes duplicate faults and sorts the rest. */
    public Rejected {
      faults = faults.stream().distinct().sorted().toList();
    }
  }

  /** Returns {@code value} as accepted if there are no faults, else a rejection. */
  static <T> DocumentOutcome<T> of(T value, List<FieldFault> faults) {
    return faults.isEmpty() ? new Accepted<>(value) : new Rejected<>(faults);
  }
}

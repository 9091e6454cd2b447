package org.vanillacove.protocol.configuration;

/** Value that an exception sets its field to. */
public sealed interface ExceptionValue {
  /**
   * A whole number, in the unit of the field.
   *
   * @param value amount that replaces the default
   */
  record Amount(long value) implements ExceptionValue {
    @Override
    public String toString() {
      return Long.toString(value);
    }
  }

  /**
   * One of the words that the field allows.
   *
   * @param value the word in the notation of documents
   */
  record Choice(String value) implements ExceptionValue {
    @Override
    public String toString() {
      return value;
    }
  }
}

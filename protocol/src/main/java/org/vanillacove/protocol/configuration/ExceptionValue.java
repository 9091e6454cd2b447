package org.vanillacove.protocol.configuration;

/** Value that an exception gives a field. */
public sealed interface ExceptionValue {
  /**
   * A whole number.
   *
   * @param value the number
   */
  record Amount(long value) implements ExceptionValue {
    @Override
    public String toString() {
      return Long.toString(value);
    }
  }

  /**
   * One of several words.
   *
   * @param value the word
   */
  record Choice(String value) implements ExceptionValue {
    @Override
    public String toString() {
      return value;
    }
  }
}

package org.vanillacove.transport.operator;

/** A query parameter of a request cannot be used; turned into an answer by the fault handler. */
final class BadParameterException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Name of the parameter. */
  private final String field;

  /** What is wrong with it. */
  private final String reason;

  BadParameterException(String field, String reason) {
    super(field + ": " + reason);
    this.field = field;
    this.reason = reason;
  }

  String field() {
    return field;
  }

  String reason() {
    return reason;
  }
}

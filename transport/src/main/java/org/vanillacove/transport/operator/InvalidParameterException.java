package org.vanillacove.transport.operator;

/** Reports an invalid part of a request; {@link OperatorExceptionHandler} responds with it. */
final class InvalidParameterException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Name of the parameter, or {@code $} for the body. */
  private final String field;

  /** Why the value is invalid. */
  private final String reason;

  InvalidParameterException(String field, String reason) {
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

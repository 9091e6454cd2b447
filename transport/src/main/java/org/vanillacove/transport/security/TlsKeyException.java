package org.vanillacove.transport.security;

/** Thrown if PEM files are unreadable or invalid; the message names the file and the reason. */
public final class TlsKeyException extends Exception {
  /** Version of the serialized form. */
  private static final long serialVersionUID = 1;

  TlsKeyException(String message, Throwable cause) {
    super(message, cause);
  }
}

package org.vanillacove.transport.security;

/** Says that PEM files cannot be used; the message names the file and the reason. */
public final class TlsKeyException extends Exception {
  /** Version of the serialized form. */
  private static final long serialVersionUID = 1;

  TlsKeyException(String message, Throwable cause) {
    super(message, cause);
  }
}

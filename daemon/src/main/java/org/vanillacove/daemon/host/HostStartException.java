package org.vanillacove.daemon.host;

/** A host could not be started because of one of its settings. */
public final class HostStartException extends Exception {
  /** Creates an exception that names the field of the settings and the reason. */
  public HostStartException(String field, String reason, Throwable cause) {
    super(field + ": " + reason + ": " + cause.getMessage(), cause);
  }
}

package org.vanillacove.daemon.host;

/** Thrown when a host cannot start because of a setting or an option. */
public final class HostStartException extends Exception {
  /** Creates an exception whose message names the setting or option, the reason and the cause. */
  public HostStartException(String field, String reason, Throwable cause) {
    super(field + ": " + reason + ": " + cause.getMessage(), cause);
  }
}

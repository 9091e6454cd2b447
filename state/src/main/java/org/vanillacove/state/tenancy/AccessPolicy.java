package org.vanillacove.state.tenancy;

import java.util.Optional;

/**
 * Decides whether a call may be served by the key that it carries. The load that it answers: calls
 * with keys that were revoked or never issued, on all paths at once.
 */
public final class AccessPolicy {
  private AccessPolicy() {}

  /** Decision on a call. */
  public sealed interface Access {
    /**
     * The call may be served.
     *
     * @param organisation organisation that owns the key; empty if the queue needs no key
     */
    record Granted(Optional<String> organisation) implements Access {}

    /**
     * The call is refused, whatever it asks for.
     *
     * @param reason why the key is not valid
     */
    record Unauthorized(Reason reason) implements Access {}

    /** This host can't decide: its configuration may have been replaced since it was read. */
    record Unconfirmed() implements Access {}
  }

  /** Why a call is refused. */
  public enum Reason {
    /** The call carries no key. */
    MISSING_KEY,
    /** No organisation of the configuration owns the key. */
    UNKNOWN_KEY
  }

  /**
   * Decides on a call.
   *
   * @param open whether the queue needs no key
   * @param key digest of the key, empty if the call carries none
   * @param organisations organisations of the configuration in force
   * @param confirmed whether the configuration was read recently enough
   */
  public static Access decide(
      boolean open, Optional<KeyDigest> key, OrganisationTable organisations, boolean confirmed) {
    if (open) {
      return new Access.Granted(Optional.empty());
    }
    if (!confirmed) {
      return new Access.Unconfirmed();
    }
    if (key.isEmpty()) {
      return new Access.Unauthorized(Reason.MISSING_KEY);
    }
    return organisations
        .owner(key.get())
        .<Access>map(owner -> new Access.Granted(Optional.of(owner.name())))
        .orElseGet(() -> new Access.Unauthorized(Reason.UNKNOWN_KEY));
  }
}

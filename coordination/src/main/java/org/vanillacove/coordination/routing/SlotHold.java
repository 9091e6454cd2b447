package org.vanillacove.coordination.routing;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/** A slot of a backend server in use by one request of this host. */
public final class SlotHold {
  /** Identifier of the backend server. */
  private final String backendId;

  /** Callback that frees the slot in the ledger. */
  private final Consumer<SlotHold> onRelease;

  /** Whether the slot was released; a slot is released only once. */
  private final AtomicBoolean released = new AtomicBoolean();

  /**
   * Identifier of the loan that the slot is used under, empty for a slot of this host's own token.
   */
  private volatile String loanId;

  SlotHold(String backendId, String loanId, Consumer<SlotHold> onRelease) {
    this.backendId = backendId;
    this.loanId = loanId;
    this.onRelease = onRelease;
  }

  /** Returns the identifier of the backend server. */
  public String backendId() {
    return backendId;
  }

  /** Releases the slot; later calls have no effect. */
  void release() {
    if (released.compareAndSet(false, true)) {
      onRelease.accept(this);
    }
  }

  /** Turns a slot of this host's own token into a loan because the token was transferred. */
  void convertToLoan(String newLoanId) {
    loanId = newLoanId;
  }

  String loanId() {
    return loanId;
  }
}

package org.vanillacove.coordination.routing;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/** A slot of a backend server in use by one request of this host. */
public final class SlotHold {
  /** Backend server. */
  private final String backendId;

  /** What to do once the slot is free. */
  private final Consumer<SlotHold> onRelease;

  /** Whether it was released. */
  private final AtomicBoolean released = new AtomicBoolean();

  /** Loan that the slot is used under, empty for a slot of this host's own token. */
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

  /** Frees the slot; later calls do nothing. */
  void release() {
    if (released.compareAndSet(false, true)) {
      onRelease.accept(this);
    }
  }

  /** Makes a slot of the own token a loan, since the token was passed on. */
  void convertToLoan(String newLoanId) {
    loanId = newLoanId;
  }

  String loanId() {
    return loanId;
  }
}

package org.vanillacove.coordination.stream;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.cell.CellState;

/**
 * Judges digests in the stream against the own ones; used under the reader's shard.
 *
 * <p>A host that differs from the leader loads its state anew. If it differs from the same digest
 * still, it objects with its own, and a leader that more than half of the other hosts object to
 * loads its state anew.
 */
final class DigestAgreement {
  /** This host. */
  private final String selfId;

  /** The folded state. */
  private final CellStore store;

  /** Hosts that object to the own digest that covers {@link #objectionsThrough}. */
  private final Set<String> objectors = new HashSet<>();

  /** Offset of the digest that they object to. */
  private long objectionsThrough = -1;

  /** Offset of the newest digest for which the state was loaded anew. */
  private long reloadedThrough = -1;

  /** Offset of the newest digest that this host objected to. */
  private long objectedThrough = -1;

  DigestAgreement(String selfId, CellStore store) {
    this.selfId = selfId;
    this.store = store;
  }

  /** What follows from a digest. */
  enum Verdict {
    /** Nothing. */
    KEEP,
    /** The own state has to be loaded anew. */
    RELOAD,
    /** The own digest has to be put against it. */
    OBJECT
  }

  /** Judges a digest that was folded. */
  Verdict judge(String author, CellRecord.StateDigest digest) {
    long through = digest.throughOffset();
    OptionalLong own = store.digestAt(through);
    if (author.equals(selfId) || own.isEmpty() || own.getAsLong() == digest.digest()) {
      return Verdict.KEEP;
    }
    Optional<String> leader = store.read(CellState::leader);
    if (leader.equals(Optional.of(selfId))) {
      return judgeObjection(author, through);
    }
    if (leader.isPresent() && !leader.get().equals(author)) {
      return Verdict.KEEP;
    }
    if (through > reloadedThrough) {
      reloadedThrough = through;
      return Verdict.RELOAD;
    }
    if (through > objectedThrough) {
      objectedThrough = through;
      return Verdict.OBJECT;
    }
    return Verdict.KEEP;
  }

  private Verdict judgeObjection(String author, long through) {
    if (through > objectionsThrough) {
      objectionsThrough = through;
      objectors.clear();
    }
    if (through == objectionsThrough) {
      objectors.add(author);
    }
    int others = store.read(state -> state.hosts().size()) - 1;
    if (objectors.size() * 2 > others && through > reloadedThrough) {
      reloadedThrough = through;
      return Verdict.RELOAD;
    }
    return Verdict.KEEP;
  }
}

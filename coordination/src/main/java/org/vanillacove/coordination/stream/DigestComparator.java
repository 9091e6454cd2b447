package org.vanillacove.coordination.stream;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.cell.CellState;

/**
 * Compares digests in the stream with those of this host; used on the reader's shard.
 *
 * <p>A host whose digest differs from the leader's reloads its state. If the digests still differ,
 * it objects by writing its own digest. A leader reloads its state once more than half of the other
 * hosts have objected.
 */
final class DigestComparator {
  /** Identifier of this host. */
  private final String selfId;

  /** Cell state built from the records of the log. */
  private final CellStore store;

  /** Hosts that objected to this host's digest through {@link #objectionsThrough}. */
  private final Set<String> objectors = new HashSet<>();

  /** Offset covered by the digest that the {@link #objectors} objected to. */
  private long objectionsThrough = -1;

  /** Offset covered by the newest digest that caused a reload. */
  private long reloadedThrough = -1;

  /** Offset covered by the newest digest that this host objected to. */
  private long objectedThrough = -1;

  DigestComparator(String selfId, CellStore store) {
    this.selfId = selfId;
    this.store = store;
  }

  /** Reaction to a digest. */
  enum Action {
    /** No reaction: the digests agree or the difference is already handled. */
    NONE,
    /** Reload the state of this host. */
    RELOAD,
    /** Write this host's digest as an objection to the leader's. */
    OBJECT
  }

  /** Returns the reaction to a digest record that was applied. */
  Action evaluate(String author, CellRecord.StateDigest digest) {
    long through = digest.throughOffset();
    OptionalLong ownDigest = store.digestAt(through);
    if (author.equals(selfId) || ownDigest.isEmpty() || ownDigest.getAsLong() == digest.digest()) {
      return Action.NONE;
    }
    Optional<String> leader = store.read(CellState::leader);
    if (leader.equals(Optional.of(selfId))) {
      return evaluateObjection(author, through);
    }
    if (leader.isPresent() && !leader.get().equals(author)) {
      return Action.NONE;
    }
    if (through > reloadedThrough) {
      reloadedThrough = through;
      return Action.RELOAD;
    }
    if (through > objectedThrough) {
      objectedThrough = through;
      return Action.OBJECT;
    }
    return Action.NONE;
  }

  private Action evaluateObjection(String author, long through) {
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
      return Action.RELOAD;
    }
    return Action.NONE;
  }
}

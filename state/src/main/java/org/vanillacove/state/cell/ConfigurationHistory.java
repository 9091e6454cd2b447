package org.vanillacove.state.cell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The retained configuration versions, each older one stored as its difference from the next newer
 * one; not thread-safe.
 */
public final class ConfigurationHistory {
  /** Maximum number of retained versions: 1,400 changes a day plus a tenth. */
  public static final int MAX_VERSIONS = 1_540;

  /** Maximum number of characters stored for all older versions together. */
  public static final int MAX_CHARACTERS = 512 * 1024;

  /** Versions before the newest one, oldest first. */
  private final ArrayDeque<ConfigurationDelta> older = new ArrayDeque<>();

  /** The version in force, which holds its full document. */
  private ConfigurationEntry newest = ConfigurationEntry.NONE;

  /** Number of characters stored for the older versions. */
  private int characters;

  /** Restores a history from the result of {@link #deltas}. */
  static ConfigurationHistory restore(List<ConfigurationDelta> deltas) {
    ConfigurationHistory history = new ConfigurationHistory();
    if (!deltas.isEmpty()) {
      history.newest = deltas.getLast().reconstruct("");
      deltas.subList(0, deltas.size() - 1).forEach(history::addOlder);
    }
    return history;
  }

  /** Adds the version that is now in force and drops the oldest ones beyond the limits. */
  void add(ConfigurationEntry entry) {
    if (newest.version() != 0) {
      addOlder(ConfigurationDelta.between(newest, entry.document()));
    }
    newest = entry;
    while (older.size() >= MAX_VERSIONS || characters > MAX_CHARACTERS) {
      characters -= older.removeFirst().characters();
    }
  }

  /** Returns the version in force. */
  ConfigurationEntry newest() {
    return newest;
  }

  /** Returns the given version with its document, empty if it is not retained. */
  Optional<ConfigurationEntry> find(long version) {
    ConfigurationEntry candidate = newest;
    Iterator<ConfigurationDelta> backwards = older.descendingIterator();
    while (candidate.version() > version && backwards.hasNext()) {
      candidate = backwards.next().reconstruct(candidate.document());
    }
    return candidate.version() == version && version != 0
        ? Optional.of(candidate)
        : Optional.empty();
  }

  /** Returns all retained versions with their documents, oldest first. */
  List<ConfigurationEntry> entries() {
    List<ConfigurationEntry> entries = new ArrayList<>();
    visit(deltas(), entries::add);
    Collections.reverse(entries);
    return entries;
  }

  /**
   * Passes the versions in {@code deltas}, a result of {@link CellState#configurationDeltas}, to
   * {@code visitor}, newest first. Only one document is in memory at a time.
   */
  public static void visit(List<ConfigurationDelta> deltas, Consumer<ConfigurationEntry> visitor) {
    String newer = "";
    for (ConfigurationDelta delta : deltas.reversed()) {
      ConfigurationEntry entry = delta.reconstruct(newer);
      visitor.accept(entry);
      newer = entry.document();
    }
  }

  /** Returns all versions as stored, oldest first; the newest holds its full document. */
  List<ConfigurationDelta> deltas() {
    List<ConfigurationDelta> deltas = new ArrayList<>(older);
    if (newest.version() != 0) {
      deltas.add(ConfigurationDelta.ofFullDocument(newest));
    }
    return deltas;
  }

  private void addOlder(ConfigurationDelta delta) {
    older.addLast(delta);
    characters += delta.characters();
  }
}

package org.vanillacove.state.cell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The configuration versions that are kept, each older one as a difference to the next newer one;
 * not thread-safe.
 */
public final class ConfigurationHistory {
  /** Versions that are kept: a day at 1,400 changes, and a tenth more. */
  public static final int MAX_VERSIONS = 1_540;

  /** Characters that the older versions may hold together. */
  public static final int MAX_CHARACTERS = 512 * 1024;

  /** Older versions, oldest first. */
  private final ArrayDeque<ConfigurationDelta> older = new ArrayDeque<>();

  /** The version in force. */
  private ConfigurationEntry newest = ConfigurationEntry.NONE;

  /** Characters that the older versions hold. */
  private int characters;

  /** Returns the history that {@link #deltas} gave. */
  static ConfigurationHistory restore(List<ConfigurationDelta> deltas) {
    ConfigurationHistory history = new ConfigurationHistory();
    if (!deltas.isEmpty()) {
      history.newest = deltas.getLast().reconstruct("");
      deltas.subList(0, deltas.size() - 1).forEach(history::addOlder);
    }
    return history;
  }

  /** Adds the version that is now in force and forgets the oldest beyond the limits. */
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

  /** Returns one version. */
  Optional<ConfigurationEntry> find(long version) {
    ConfigurationEntry at = newest;
    Iterator<ConfigurationDelta> back = older.descendingIterator();
    while (at.version() > version && back.hasNext()) {
      at = back.next().reconstruct(at.document());
    }
    return at.version() == version && version != 0 ? Optional.of(at) : Optional.empty();
  }

  /** Returns all versions with their documents, oldest first. */
  List<ConfigurationEntry> entries() {
    List<ConfigurationEntry> entries = new ArrayList<>();
    visit(deltas(), entries::add);
    Collections.reverse(entries);
    return entries;
  }

  /**
   * Hands the versions that {@link CellState#configurationDeltas} gave to {@code visitor}, newest
   * first; only one document is held at a time.
   */
  public static void visit(List<ConfigurationDelta> deltas, Consumer<ConfigurationEntry> visitor) {
    String newer = "";
    for (ConfigurationDelta delta : deltas.reversed()) {
      ConfigurationEntry entry = delta.reconstruct(newer);
      visitor.accept(entry);
      newer = entry.document();
    }
  }

  /** Returns all versions as they are held, oldest first and the newest whole. */
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

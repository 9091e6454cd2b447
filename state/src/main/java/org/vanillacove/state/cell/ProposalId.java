package org.vanillacove.state.cell;

import java.util.Optional;

/**
 * A proposal identifier: a writer and the number of the proposal among the writer's, which rises.
 *
 * @param writer a host together with one run of its process
 * @param sequence number of the proposal
 */
public record ProposalId(String writer, long sequence) {
  /** Separates writer and sequence. */
  private static final char SEPARATOR = ':';

  /** Parses {@code text}, empty if it is not a proposal identifier. */
  public static Optional<ProposalId> parse(String text) {
    int at = text.lastIndexOf(SEPARATOR);
    if (at <= 0) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new ProposalId(text.substring(0, at), Long.parseLong(text, at + 1, text.length(), 10)));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  @Override
  public String toString() {
    return writer + SEPARATOR + sequence;
  }
}

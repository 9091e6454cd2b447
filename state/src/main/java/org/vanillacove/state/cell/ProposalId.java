package org.vanillacove.state.cell;

import java.util.Optional;

/**
 * Identifier of a proposed record, made of its writer and a sequence number that rises with each of
 * the writer's proposals.
 *
 * @param writer host identifier together with an incarnation of its process
 * @param sequence sequence number of the proposal
 */
public record ProposalId(String writer, long sequence) {
  /** Separates writer and sequence in the text form. */
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

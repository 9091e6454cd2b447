package org.vanillacove.transport.operator.access;

import java.util.Optional;
import org.vanillacove.protocol.settings.OperatorRole;

/**
 * Who makes a request.
 *
 * @param name name of the token
 * @param role what the token allows
 * @param team team that the token is limited to
 */
public record Principal(String name, OperatorRole role, Optional<String> team) {
  /** Whoever asks where no tokens are set up. */
  public static final Principal ANONYMOUS =
      new Principal("anonymous", OperatorRole.OPERATOR, Optional.empty());

  /** Returns whether the principal may act on what belongs to {@code owner}. */
  public boolean mayActFor(String owner) {
    return team.isEmpty() || team.get().equals(owner);
  }
}

package org.vanillacove.transport.operator.access;

import java.util.Optional;
import org.vanillacove.protocol.settings.OperatorRole;

/**
 * The authenticated sender of a request.
 *
 * @param name name of the token
 * @param role role that the token grants
 * @param team team that the token is limited to, empty if it is not limited
 */
public record Principal(String name, OperatorRole role, Optional<String> team) {
  /** Principal of all requests if no tokens are configured. */
  public static final Principal ANONYMOUS =
      new Principal("anonymous", OperatorRole.OPERATOR, Optional.empty());

  /** Returns whether the principal may see and change jobs of the team {@code owner}. */
  public boolean mayActFor(String owner) {
    return team.isEmpty() || team.get().equals(owner);
  }
}

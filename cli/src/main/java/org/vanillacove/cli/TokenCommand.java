package org.vanillacove.cli;

import com.google.common.base.Ascii;
import java.security.SecureRandom;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.vanillacove.protocol.settings.OperatorRole;
import org.vanillacove.transport.operator.access.TokenHash;

/** Makes a token; the secret is shown once, the settings hold its hash only. */
final class TokenCommand extends Command {
  /** Name. */
  @Argument(required = true, metaVar = "NAME", usage = "name of the token")
  private String name;

  /** Role. */
  @Option(name = "--role", required = true, metaVar = "ROLE", usage = "viewer or operator")
  private OperatorRole role;

  /** Team. */
  @Option(name = "--team", metaVar = "TEAM", usage = "limit the token to a team")
  private String team;

  @Override
  int run(CommandContext context) {
    TokenHash.NewToken created =
        TokenHash.create(name, role, Optional.ofNullable(team), new SecureRandom());
    Map<String, Object> settings = new LinkedHashMap<>();
    settings.put("name", name);
    settings.put("role", Ascii.toLowerCase(role.name()));
    if (team != null) {
      settings.put("team", team);
    }
    settings.put("salt", created.settings().salt());
    settings.put("hash", created.settings().hash());
    context.print(CommandContext.write(settings, true));
    context.printError("for the token file, shown once: " + created.token());
    return ExitCode.SUCCESS;
  }
}

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

/** Generates a token; its secret is printed only once, since the settings hold only a hash. */
final class TokenCommand extends Command {
  /** Name of the token. */
  @Argument(required = true, metaVar = "NAME", usage = "name of the token")
  private String name;

  /** Role that the token grants. */
  @Option(name = "--role", required = true, metaVar = "ROLE", usage = "viewer or operator")
  private OperatorRole role;

  /** Team that the token is limited to, null for no limit. */
  @Option(name = "--team", metaVar = "TEAM", usage = "team that the token is limited to")
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
    context.printError("content of the token file, not shown again: " + created.token());
    return ExitCode.SUCCESS;
  }
}

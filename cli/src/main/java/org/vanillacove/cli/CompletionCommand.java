package org.vanillacove.cli;

import java.util.LinkedHashMap;
import java.util.Map;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/** Prints a completion script for bash. */
final class CompletionCommand extends Command {
  @Override
  int run(CommandContext context) {
    StringBuilder script = new StringBuilder();
    script.append("_vanillacove() {\n");
    script.append(
        "  local word=${COMP_WORDS[COMP_CWORD]} line=\"${COMP_WORDS[*]:1:COMP_CWORD-1}\"\n");
    script.append("  local choices\n  case \"$line\" in\n");
    Map<String, StringBuilder> groups = new LinkedHashMap<>();
    for (CommandTable.Entry entry : CommandTable.all()) {
      String[] words = entry.name().split(" ", -1);
      StringBuilder verbs = groups.computeIfAbsent(words[0], name -> new StringBuilder());
      if (words.length > 1) {
        verbs.append(verbs.isEmpty() ? "" : " ").append(words[1]);
      }
      script
          .append("    *\"")
          .append(entry.name())
          .append("\"*) choices=\"")
          .append(options(entry))
          .append("\" ;;\n");
    }
    groups.forEach(
        (group, verbs) -> script.append("    *\"" + group + "\") choices=\"" + verbs + "\" ;;\n"));
    script.append(
        "    *) choices=\"--server --token-file --output --trusted "
            + String.join(" ", groups.keySet())
            + "\" ;;\n");
    script.append("  esac\n");
    script.append("  COMPREPLY=($(compgen -W \"$choices\" -- \"$word\"))\n}\n");
    script.append("complete -o default -F _vanillacove vanillacove\n");
    context.environment().out().print(script);
    return ExitCode.SUCCESS;
  }

  private static String options(CommandTable.Entry entry) {
    CmdLineParser parser =
        new CmdLineParser(entry.factory().get(), ParserProperties.defaults().withUsageWidth(80));
    return String.join(
        " ", parser.getOptions().stream().map(option -> option.option.toString()).toList());
  }
}

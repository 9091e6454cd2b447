package org.vanillacove.cli;

import com.google.common.base.Strings;
import com.google.common.net.HostAndPort;
import java.io.File;
import java.io.OutputStreamWriter;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;
import org.kohsuke.args4j.spi.RestOfArgumentsHandler;

/** Entry point of the operator command line. */
public final class Vanillacove {
  /** Maximum line width of help, in characters. */
  private static final int HELP_WIDTH = 80;

  /** Width of the column of command names in help, in characters. */
  private static final int NAME_WIDTH = 20;

  /** Usage lines at the head of help. */
  private static final String SYNOPSIS =
      "usage: vanillacove [--server HOST:PORT] [--token-file FILE]\n"
          + "                   [--output table|json] COMMAND";

  /** Description of exit codes at the end of help. */
  private static final String EXIT_CODES =
      "exit codes: 0 done, 1 refused, 2 usage or bad input, 3 unreachable,\n"
          + "            4 unknown outcome";

  /** Held to prevent garbage collection, which would reset the level that silences library logs. */
  private static final Logger ROOT_LOGGER = Logger.getLogger("");

  /** Streams, clock and working directory. */
  private final CliEnvironment environment;

  /** Address of an entry host's operator port. */
  @Option(name = "--server", metaVar = "HOST:PORT", usage = "operator port of an entry host")
  private String server = "127.0.0.1:7400";

  /** Name of the file with the bearer token, null to send none. */
  @Option(name = "--token-file", metaVar = "FILE", usage = "file that contains the token")
  private String tokenFile;

  /** Name of the file with trusted certificates, null to use plain text. */
  @Option(
      name = "--trusted",
      metaVar = "FILE",
      usage = "use TLS and trust the PEM certificates in FILE")
  private String trusted;

  /** Output format. */
  @Option(name = "--output", metaVar = "table|json", usage = "output format")
  private OutputForm output = OutputForm.TABLE;

  /** Whether to print help. */
  @Option(name = "--help", help = true, usage = "print help")
  private boolean help;

  /** Name of the command, followed by its arguments. */
  @Argument(handler = RestOfArgumentsHandler.class, metaVar = "COMMAND", hidden = true)
  private List<String> words = new ArrayList<>();

  Vanillacove(CliEnvironment environment) {
    this.environment = environment;
  }

  /** Output formats. */
  enum OutputForm {
    /** Aligned columns and text. */
    TABLE,
    /** JSON, for use in scripts. */
    JSON
  }

  /** Runs the command that the arguments select and exits with its code. */
  public static void main(String[] arguments) {
    ROOT_LOGGER.setLevel(Level.OFF);
    CliEnvironment environment =
        new CliEnvironment(
            new PrintStream(System.out, true, StandardCharsets.UTF_8),
            new PrintStream(System.err, true, StandardCharsets.UTF_8),
            InstantSource.system(),
            new SecureRandom(),
            Path.of(""),
            Vanillacove::sleep);
    int code = new Vanillacove(environment).run(List.of(arguments));
    System.exit(code);
  }

  /** Runs a command and returns its exit code. */
  int run(List<String> arguments) {
    CmdLineParser parser = parser(this);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException e) {
      return usageError(e.getMessage(), "vanillacove --help");
    }
    if (help || words.isEmpty()) {
      printHelp(parser, help ? environment.out() : environment.err());
      return help ? ExitCode.SUCCESS : ExitCode.BAD_INPUT;
    }
    Optional<CommandTable.Entry> entry = CommandTable.find(words);
    return entry.isPresent() ? run(entry.get()) : groupHelp();
  }

  private int run(CommandTable.Entry entry) {
    Command command = entry.factory().get();
    CmdLineParser parser = parser(command);
    int length = entry.name().split(" ", -1).length;
    try {
      parser.parseArgument(words.subList(length, words.size()));
    } catch (CmdLineException e) {
      return usageError(e.getMessage(), "vanillacove " + entry.name() + " --help");
    }
    if (command.isHelp()) {
      environment.out().println("usage: vanillacove " + entry.name() + usage(parser));
      environment.out().println(entry.summary());
      parser.printUsage(new OutputStreamWriter(environment.out(), StandardCharsets.UTF_8), null);
      return ExitCode.SUCCESS;
    }
    return connectAndRun(command);
  }

  private int connectAndRun(Command command) {
    Optional<String> token = Optional.empty();
    if (tokenFile != null) {
      token = new CommandContext(environment, null, false).readFile(tokenFile).map(String::strip);
      if (token.isEmpty()) {
        return ExitCode.BAD_INPUT;
      }
    }
    HostAndPort address;
    try {
      address = HostAndPort.fromString(server).requireBracketsForIPv6();
    } catch (IllegalArgumentException e) {
      return usageError("--server: must be HOST:PORT: " + server, "vanillacove --help");
    }
    if (!address.hasPort()) {
      return usageError("--server: the port is missing: " + server, "vanillacove --help");
    }
    Optional<File> certificates =
        Optional.ofNullable(trusted).map(name -> environment.directory().resolve(name).toFile());
    if (certificates.isPresent() && !certificates.get().canRead()) {
      return usageError("--trusted: file cannot be read: " + trusted, "vanillacove --help");
    }
    try (OperatorClient client = new OperatorClient(address, token, certificates)) {
      return command.run(new CommandContext(environment, client, output == OutputForm.JSON));
    }
  }

  private int groupHelp() {
    List<CommandTable.Entry> group = CommandTable.group(words.getFirst());
    if (group.isEmpty()) {
      return usageError("unknown command: " + String.join(" ", words), "vanillacove --help");
    }
    boolean asked = words.size() == 2 && words.get(1).equals("--help");
    PrintStream stream = asked ? environment.out() : environment.err();
    if (words.size() > 1 && !asked) {
      stream.println("error: unknown command: " + String.join(" ", words));
    }
    stream.println("usage: vanillacove " + words.getFirst() + " COMMAND, one of:");
    group.forEach(entry -> printEntry(stream, entry));
    return asked ? ExitCode.SUCCESS : ExitCode.BAD_INPUT;
  }

  private int usageError(String message, String helpCommand) {
    environment.err().println("error: " + message);
    environment.err().println("see " + helpCommand);
    return ExitCode.BAD_INPUT;
  }

  private static void printHelp(CmdLineParser parser, PrintStream stream) {
    stream.println(SYNOPSIS);
    Writer writer = new OutputStreamWriter(stream, StandardCharsets.UTF_8);
    parser.printUsage(new PrintWriter(writer, true), null);
    stream.println("commands:");
    CommandTable.all().forEach(entry -> printEntry(stream, entry));
    stream.println(EXIT_CODES);
  }

  private static void printEntry(PrintStream stream, CommandTable.Entry entry) {
    stream.println("  " + Strings.padEnd(entry.name(), NAME_WIDTH, ' ') + entry.summary());
  }

  private static String usage(CmdLineParser parser) {
    java.io.StringWriter text = new java.io.StringWriter();
    parser.printSingleLineUsage(text, null);
    return text.toString();
  }

  private static CmdLineParser parser(Object bean) {
    return new CmdLineParser(
        bean,
        ParserProperties.defaults()
            .withUsageWidth(HELP_WIDTH)
            .withShowDefaults(false)
            .withOptionSorter(null));
  }

  private static boolean sleep(Duration duration) {
    try {
      Thread.sleep(duration);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}

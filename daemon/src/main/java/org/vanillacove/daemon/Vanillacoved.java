package org.vanillacove.daemon;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.OutputStreamWriter;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.vanillacove.daemon.host.EntryHost;
import org.vanillacove.daemon.host.HostStartException;
import org.vanillacove.daemon.local.LocalCell;
import org.vanillacove.protocol.document.DocumentOutcome;
import org.vanillacove.protocol.settings.DaemonSettings;
import org.vanillacove.protocol.settings.DaemonSettingsLoader;

/** Main class of the daemon, which runs an entry host or a local cell. */
public final class Vanillacoved {
  /** Logger of failures at startup. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Exit code after a graceful shutdown, a settings check or help. */
  private static final int EXIT_DONE = 0;

  /** Exit code after a failed startup. */
  private static final int EXIT_FAILED = 1;

  /** Exit code after invalid arguments or invalid settings. */
  private static final int EXIT_USAGE = 2;

  /** Interval of the readiness check during startup, in milliseconds. */
  private static final long READY_POLL_MILLIS = 20;

  private Vanillacoved() {}

  /** Runs the daemon; SIGTERM starts a graceful shutdown. */
  public static void main(String[] arguments) throws InterruptedException {
    int code;
    try {
      code = run(arguments);
    } catch (RuntimeException | Error e) {
      LOG.atSevere().withCause(e).log("daemon: startup failed");
      code = EXIT_FAILED;
    }
    if (code >= 0) {
      System.exit(code);
    }
  }

  /** Starts the daemon; returns the exit code, or a negative number if it keeps running. */
  static int run(String[] arguments) throws InterruptedException {
    DaemonOptions options = new DaemonOptions();
    CmdLineParser parser = new CmdLineParser(options);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException e) {
      return usage(parser, System.err, "error: " + e.getMessage(), EXIT_USAGE);
    }
    if (options.isHelp()) {
      return usage(parser, System.out, "Runs an entry host.", EXIT_DONE);
    }
    options.logFormat().install();
    if (options.isLocal()) {
      return runLocal(options.portBase(), options.keys());
    }
    if (options.settings().isEmpty()) {
      return usage(parser, System.err, "error: --settings FILE or --local is required", EXIT_USAGE);
    }
    return runHost(options.settings().get(), options.isCheck());
  }

  private static int usage(
      CmdLineParser parser, PrintStream stream, String firstLine, int exitCode) {
    stream.println(firstLine);
    stream.println(
        "usage: vanillacoved --settings FILE [--check] |"
            + " --local [--port-base N] [--keys DIRECTORY], each [--log-format FORMAT]");
    parser.printUsage(new OutputStreamWriter(stream, StandardCharsets.UTF_8), null);
    return exitCode;
  }

  private static int runLocal(int portBase, Optional<Path> keys) throws InterruptedException {
    try {
      LocalCell cell = new LocalCell(portBase, keys);
      drainOnSignal(cell::drain);
      awaitReady(cell::isReady);
      System.out.println(cell.readyLine());
      return -1;
    } catch (HostStartException | IllegalArgumentException e) {
      System.err.println("error: " + e.getMessage());
      return e instanceof HostStartException ? EXIT_FAILED : EXIT_USAGE;
    }
  }

  private static int runHost(Path file, boolean checkOnly) throws InterruptedException {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      System.err.println("error: --settings: cannot read " + file + ": " + e);
      return EXIT_USAGE;
    }
    return switch (new DaemonSettingsLoader().load(text)) {
      case DocumentOutcome.Rejected<DaemonSettings> rejected -> {
        rejected.faults().forEach(fault -> System.err.println("error: " + fault));
        yield EXIT_USAGE;
      }
      case DocumentOutcome.Accepted<DaemonSettings> accepted when checkOnly -> EXIT_DONE;
      case DocumentOutcome.Accepted<DaemonSettings> accepted -> runHost(accepted.value());
    };
  }

  private static int runHost(DaemonSettings settings) throws InterruptedException {
    try {
      EntryHost host = new EntryHost(settings);
      drainOnSignal(() -> host.drain().join());
      host.start();
      awaitReady(host::isReady);
      System.out.println(
          "ready operator=%s guest=%s"
              .formatted(settings.listen().operator(), settings.listen().guest()));
      return -1;
    } catch (HostStartException e) {
      System.err.println("error: " + e.getMessage());
      return EXIT_FAILED;
    }
  }

  private static void drainOnSignal(Runnable drain) {
    Thread hook =
        new Thread(
            () -> {
              drain.run();
              // After a signal the JVM exits with a non-zero code; a graceful shutdown must exit
              // with 0.
              Runtime.getRuntime().halt(EXIT_DONE);
            },
            "shutdown");
    Runtime.getRuntime().addShutdownHook(hook);
  }

  private static void awaitReady(BooleanSupplier ready) throws InterruptedException {
    while (!ready.getAsBoolean()) {
      Thread.sleep(READY_POLL_MILLIS);
    }
  }
}

package org.vanillacove.daemon;

import java.io.File;
import java.nio.file.Path;
import java.util.Optional;
import org.kohsuke.args4j.Option;
import org.vanillacove.daemon.log.LogFormat;

/** Command-line options of the daemon. */
final class DaemonOptions {
  /** JSON file with the settings, null for a local cell. */
  @Option(name = "--settings", metaVar = "FILE", usage = "JSON file with the settings of this host")
  private File settings;

  /** Whether the process exits after the validation of the settings. */
  @Option(name = "--check", usage = "validate the settings and exit", depends = "--settings")
  private boolean check;

  /** Whether a local cell is started. */
  @Option(
      name = "--local",
      usage = "start a local cell with a simulated platform",
      forbids = "--settings")
  private boolean local;

  /** First port of the local cell. */
  @Option(
      name = "--port-base",
      metaVar = "N",
      usage = "first port of the local cell, default 7400",
      depends = "--local")
  private int portBase = 7_400;

  /** Format of the log on standard error. */
  @Option(name = "--log-format", usage = "format of the log on standard error")
  private LogFormat logFormat = LogFormat.TEXT;

  /** Directory for the generated keys of the local cell, null for ports without TLS. */
  @Option(
      name = "--keys",
      metaVar = "DIRECTORY",
      usage =
          "generate keys there and use TLS at the operators' and guests' ports of the local cell",
      depends = "--local")
  private File keys;

  /** Whether the usage is printed to standard output. */
  @Option(name = "--help", aliases = "-h", usage = "print this help", help = true)
  private boolean help;

  /** Returns the settings file, empty for a local cell. */
  Optional<Path> settings() {
    return Optional.ofNullable(settings).map(File::toPath);
  }

  /** Returns whether the process exits after the validation of the settings. */
  boolean isCheck() {
    return check;
  }

  /** Returns whether a local cell is started. */
  boolean isLocal() {
    return local;
  }

  /** Returns the first port of the local cell. */
  int portBase() {
    return portBase;
  }

  /** Returns the format of the log on standard error. */
  LogFormat logFormat() {
    return logFormat;
  }

  /** Returns the directory for generated keys, empty for ports without TLS. */
  Optional<Path> keys() {
    return Optional.ofNullable(keys).map(File::toPath);
  }

  /** Returns whether the usage is printed to standard output. */
  boolean isHelp() {
    return help;
  }
}

package org.vanillacove.daemon;

import java.io.File;
import java.nio.file.Path;
import java.util.Optional;
import org.kohsuke.args4j.Option;
import org.vanillacove.daemon.log.LogFormat;

/** Arguments of the daemon. */
final class DaemonOptions {
  /** File with the settings. */
  @Option(name = "--settings", metaVar = "FILE", usage = "JSON file with the settings of this host")
  private File settings;

  /** Whether the settings are only checked. */
  @Option(name = "--check", usage = "check the settings and exit", depends = "--settings")
  private boolean check;

  /** Whether a local cell is started. */
  @Option(
      name = "--local",
      usage = "start a local cell with stand-ins for the platform",
      forbids = "--settings")
  private boolean local;

  /** First port of the local cell. */
  @Option(
      name = "--port-base",
      metaVar = "N",
      usage = "first port of the local cell, 7400 if left out",
      depends = "--local")
  private int portBase = 7_400;

  /** Form of the log. */
  @Option(name = "--log-format", usage = "form of the log on standard error")
  private LogFormat logFormat = LogFormat.TEXT;

  /** Directory of the keys of the local cell, null for plain text at the ports. */
  @Option(
      name = "--keys",
      metaVar = "DIRECTORY",
      usage =
          "make keys there, and open the operators' and guests' ports of the local cell with TLS",
      depends = "--local")
  private File keys;

  /** Whether help is printed. */
  @Option(name = "--help", aliases = "-h", usage = "print this help", help = true)
  private boolean help;

  /** Returns the file with the settings, empty for a local cell. */
  Optional<Path> settings() {
    return Optional.ofNullable(settings).map(File::toPath);
  }

  /** Returns whether the settings are only checked. */
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

  /** Returns the form of the log. */
  LogFormat logFormat() {
    return logFormat;
  }

  /** Returns the directory of the keys of the local cell, empty for plain text at the ports. */
  Optional<Path> keys() {
    return Optional.ofNullable(keys).map(File::toPath);
  }

  /** Returns whether help is printed. */
  boolean isHelp() {
    return help;
  }
}

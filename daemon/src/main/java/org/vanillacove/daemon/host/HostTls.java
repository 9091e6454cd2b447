package org.vanillacove.daemon.host;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.vanillacove.protocol.settings.DaemonSettings.KeyFiles;
import org.vanillacove.protocol.settings.DaemonSettings.TlsSettings;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.transport.security.ReloadingTlsKeys;
import org.vanillacove.transport.security.TlsFiles;
import org.vanillacove.transport.security.TlsKeyException;

/** TLS keys of a host's ports, reloaded when their files change. */
final class HostTls implements AutoCloseable {
  /** Interval at which the key files are checked for rotated keys. */
  private static final Duration RELOAD_PERIOD = Duration.ofSeconds(5);

  /** Keys of the guests' port, empty for plain text. */
  private final Optional<ReloadingTlsKeys> guest;

  /** Keys of the operators' port, empty for plain text. */
  private final Optional<ReloadingTlsKeys> operator;

  /** Keys of the peer link, empty for plain text. */
  private final Optional<ReloadingTlsKeys> peer;

  private HostTls(
      Optional<ReloadingTlsKeys> guest,
      Optional<ReloadingTlsKeys> operator,
      Optional<ReloadingTlsKeys> peer) {
    this.guest = guest;
    this.operator = operator;
    this.peer = peer;
  }

  /** Loads the keys from the files given in the settings. */
  static HostTls of(TlsSettings settings, TimerService timer) throws HostStartException {
    return new HostTls(
        load("tls.guest", settings.guest(), timer),
        load("tls.operator", settings.operator(), timer),
        load("tls.peer", settings.peer(), timer));
  }

  /** Returns the keys of the guests' port, empty for plain text. */
  Optional<ReloadingTlsKeys> guest() {
    return guest;
  }

  /** Returns the keys of the operators' port, empty for plain text. */
  Optional<ReloadingTlsKeys> operator() {
    return operator;
  }

  /** Returns the keys of the peer link, empty for plain text. */
  Optional<ReloadingTlsKeys> peer() {
    return peer;
  }

  @Override
  public void close() {
    guest.ifPresent(ReloadingTlsKeys::close);
    operator.ifPresent(ReloadingTlsKeys::close);
    peer.ifPresent(ReloadingTlsKeys::close);
  }

  private static Optional<ReloadingTlsKeys> load(
      String field, Optional<KeyFiles> files, TimerService timer) throws HostStartException {
    if (files.isEmpty()) {
      return Optional.empty();
    }
    KeyFiles named = files.get();
    Path certificate = Path.of(named.certificate());
    Path trusted = named.trusted().map(Path::of).orElse(certificate);
    try {
      TlsFiles tlsFiles = new TlsFiles(certificate, Path.of(named.key()), trusted);
      return Optional.of(new ReloadingTlsKeys(tlsFiles, timer, RELOAD_PERIOD));
    } catch (TlsKeyException e) {
      throw new HostStartException(field, "cannot load the TLS keys", e);
    }
  }
}

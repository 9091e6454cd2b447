package org.vanillacove.daemon.local;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.util.Optional;
import org.vanillacove.daemon.host.HostStartException;
import org.vanillacove.protocol.settings.DaemonSettings.KeyFiles;
import org.vanillacove.protocol.settings.DaemonSettings.TlsSettings;
import org.vanillacove.transport.security.LocalKeyGenerator;
import org.vanillacove.transport.security.TlsFiles;

/**
 * Generated TLS keys of a local cell: always for the peer links, and also for the operators' and
 * guests' ports if a directory is given.
 */
final class LocalKeys implements AutoCloseable {
  /** File name of the key that the operators' and guests' ports share. */
  private static final String PORT_KEY = "ports";

  /** Directory of the key files. */
  private final Path directory;

  /** Whether the directory is temporary and deleted when the cell is closed. */
  private final boolean temporary;

  /** Generates keys signed by an authority of this cell. */
  private final LocalKeyGenerator maker;

  /** Key files of the operators' and guests' ports, empty for plain text. */
  private final Optional<KeyFiles> ports;

  /** Generates an authority, and the key of the ports if a directory is given. */
  LocalKeys(Optional<Path> named) throws HostStartException {
    temporary = named.isEmpty();
    try {
      directory = temporary ? Files.createTempDirectory("vanillacove-keys") : named.get();
      maker = new LocalKeyGenerator(directory);
      ports = temporary ? Optional.empty() : Optional.of(key(PORT_KEY));
    } catch (IOException | GeneralSecurityException e) {
      throw new HostStartException("--keys", "cannot generate the TLS keys", e);
    }
  }

  /** Generates the peer key of a host and returns the host's TLS settings. */
  TlsSettings settings(String hostId) throws HostStartException {
    try {
      return new TlsSettings(ports, ports, Optional.of(key(hostId)));
    } catch (IOException | GeneralSecurityException e) {
      throw new HostStartException("--keys", "cannot generate the TLS keys", e);
    }
  }

  /** Returns the file of the authority's certificate, empty for plain text at the ports. */
  Optional<String> trusted() {
    return ports.flatMap(KeyFiles::trusted);
  }

  /** Deletes the key files if they are in a temporary directory. */
  @Override
  public void close() {
    if (temporary) {
      try {
        MoreFiles.deleteRecursively(directory, RecursiveDeleteOption.ALLOW_INSECURE);
      } catch (IOException e) {
        directory.toFile().deleteOnExit();
      }
    }
  }

  private KeyFiles key(String name) throws IOException, GeneralSecurityException {
    TlsFiles files = maker.generateKey(name);
    return new KeyFiles(
        files.certificateFile().toString(),
        files.keyFile().toString(),
        Optional.of(files.trustFile().toString()));
  }
}

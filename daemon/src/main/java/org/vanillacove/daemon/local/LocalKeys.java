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
import org.vanillacove.transport.security.LocalKeyMaker;
import org.vanillacove.transport.security.TlsFiles;

/**
 * Keys of a local cell: always for the peer links, and for the other ports if a directory is named.
 */
final class LocalKeys implements AutoCloseable {
  /** Name of the key of the operators' and guests' ports. */
  private static final String PORT_KEY = "ports";

  /** Directory of the files. */
  private final Path directory;

  /** Whether the files go with the cell. */
  private final boolean temporary;

  /** Makes keys. */
  private final LocalKeyMaker maker;

  /** Keys of the operators' and guests' ports. */
  private final Optional<KeyFiles> ports;

  /** Makes an authority and the keys of the ports. */
  LocalKeys(Optional<Path> named) throws HostStartException {
    temporary = named.isEmpty();
    try {
      directory = temporary ? Files.createTempDirectory("vanillacove-keys") : named.get();
      maker = new LocalKeyMaker(directory);
      ports = temporary ? Optional.empty() : Optional.of(key(PORT_KEY));
    } catch (IOException | GeneralSecurityException e) {
      throw new HostStartException("--keys", "keys cannot be made", e);
    }
  }

  /** Returns the keys of a host. */
  TlsSettings settings(String hostId) throws HostStartException {
    try {
      return new TlsSettings(ports, ports, Optional.of(key(hostId)));
    } catch (IOException | GeneralSecurityException e) {
      throw new HostStartException("--keys", "keys cannot be made", e);
    }
  }

  /** Returns the certificate that clients of the ports must trust, empty for plain text. */
  Optional<String> trusted() {
    return ports.flatMap(KeyFiles::trusted);
  }

  /** Removes the files if nobody asked for them. */
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
    TlsFiles files = maker.makeKey(name);
    return new KeyFiles(
        files.certificateFile().toString(),
        files.keyFile().toString(),
        Optional.of(files.trustFile().toString()));
  }
}

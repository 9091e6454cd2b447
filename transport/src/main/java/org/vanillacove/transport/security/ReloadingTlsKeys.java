package org.vanillacove.transport.security;

import com.google.common.flogger.FluentLogger;
import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import com.linecorp.armeria.common.TlsKeyPair;
import com.linecorp.armeria.common.TlsProvider;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServerTlsConfig;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.nio.file.Files;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.vanillacove.protocol.timer.TimerService;

/**
 * TLS keys of a port that are reloaded when their files change. New connections use the latest
 * keys. If the changed files are invalid, a warning is logged and the current keys stay in use.
 * Thread-safe.
 */
public final class ReloadingTlsKeys implements TlsProvider {
  /** Logger of reloads; log lines name files but never contain key material. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Minimum time between two warnings about a failed reload, in seconds. */
  private static final int LOG_INTERVAL_SECONDS = 60;

  /** Files from which the keys are loaded. */
  private final TlsFiles files;

  /** Periodic task that checks the files for changes. */
  private final TimerService.Subscription reloads;

  /** Hash of the files at the last successful load. */
  private HashCode loadedHash;

  /** Keys and TLS contexts for new connections; replaced by a reload. */
  private volatile TlsIdentity identity;

  /**
   * Loads the keys.
   *
   * @param files the PEM files to load
   * @param timer runs the periodic check of the files
   * @param period time between two checks of the files
   * @throws TlsKeyException if a file cannot be used
   */
  public ReloadingTlsKeys(TlsFiles files, TimerService timer, Duration period)
      throws TlsKeyException {
    this.files = files;
    this.identity = TlsIdentity.load(files);
    this.loadedHash = hash();
    reloads = timer.every(period, this::reload);
  }

  /** Uses the keys for a server's TLS ports; {@code mutual} requires client certificates. */
  public void install(ServerBuilder builder, boolean mutual) {
    ClientAuth auth = mutual ? ClientAuth.REQUIRE : ClientAuth.NONE;
    builder.tlsProvider(this, ServerTlsConfig.builder().clientAuth(auth).build());
  }

  /** Returns the current TLS context for accepted peer connections. */
  public SslContext peerServerContext() {
    return identity.serverContext();
  }

  /** Returns the current TLS context for outgoing peer connections. */
  public SslContext peerClientContext() {
    return identity.clientContext();
  }

  @Override
  public TlsKeyPair keyPair(String hostname) {
    return identity.keyPair();
  }

  @Override
  public List<X509Certificate> trustedCertificates(String hostname) {
    return identity.trusted();
  }

  /** Returns false: several ports share the keys, so closing one server must not close them. */
  @Override
  public boolean autoClose() {
    return false;
  }

  /** Stops checking the files for changes. */
  @Override
  public void close() {
    reloads.cancel();
  }

  private synchronized void reload() {
    HashCode newHash = hash();
    if (newHash.equals(loadedHash)) {
      return;
    }
    try {
      identity = TlsIdentity.load(files);
      loadedHash = newHash;
      LOG.atInfo().log("security: loaded new keys from %s", files.certificateFile());
    } catch (TlsKeyException e) {
      LOG.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
          "security: cannot load the changed keys, keeping the current ones: %s", e.getMessage());
    }
  }

  private HashCode hash() {
    List<HashCode> hashes = new ArrayList<>();
    for (var file : List.of(files.certificateFile(), files.keyFile(), files.trustFile())) {
      try {
        hashes.add(Hashing.sha256().hashBytes(Files.readAllBytes(file)));
      } catch (IOException e) {
        hashes.add(Hashing.sha256().hashBytes(new byte[0]));
      }
    }
    return Hashing.combineOrdered(hashes);
  }
}

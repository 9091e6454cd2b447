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
 * The TLS keys of a port, read again whenever the files change. New connections use the newest
 * keys; files that cannot be used are reported and the last good keys stay. Thread-safe.
 */
public final class ReloadingTlsKeys implements TlsProvider {
  /** Log of reloads; it never names more than the files. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Shortest time between two log lines of the same kind, in seconds. */
  private static final int LOG_INTERVAL_SECONDS = 60;

  /** The files. */
  private final TlsFiles files;

  /** The timer of reloads. */
  private final TimerService.Subscription reloads;

  /** Hash of the files when they were last read. */
  private HashCode readHash;

  /** The keys in use. */
  private volatile TlsIdentity identity;

  /**
   * Loads the keys.
   *
   * @param files the files
   * @param timer source of time
   * @param period time between two looks at the files
   * @throws TlsKeyException if a file cannot be used
   */
  public ReloadingTlsKeys(TlsFiles files, TimerService timer, Duration period)
      throws TlsKeyException {
    this.files = files;
    this.identity = TlsIdentity.load(files);
    this.readHash = hash();
    reloads = timer.every(period, this::reload);
  }

  /** Adds the keys to a server's TLS ports; with {@code mutual} clients must show a certificate. */
  public void install(ServerBuilder builder, boolean mutual) {
    ClientAuth auth = mutual ? ClientAuth.REQUIRE : ClientAuth.NONE;
    builder.tlsProvider(this, ServerTlsConfig.builder().clientAuth(auth).build());
  }

  /** Returns the context of accepted peer connections. */
  public SslContext peerServerContext() {
    return identity.serverContext();
  }

  /** Returns the context of dialled peer connections. */
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

  /** Stays false, since several ports share the keys. */
  @Override
  public boolean autoClose() {
    return false;
  }

  /** Stops to look at the files. */
  @Override
  public void close() {
    reloads.cancel();
  }

  private synchronized void reload() {
    HashCode newHash = hash();
    if (newHash.equals(readHash)) {
      return;
    }
    try {
      identity = TlsIdentity.load(files);
      readHash = newHash;
      LOG.atInfo().log("security: loaded new keys from %s", files.certificateFile());
    } catch (TlsKeyException e) {
      LOG.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
          "security: keeping the former keys, since %s", e.getMessage());
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

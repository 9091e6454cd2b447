package org.vanillacove.protocol.settings;

import java.util.List;
import java.util.Optional;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.HostSpec;

/**
 * Settings of a daemon; addresses are host:port by IP number.
 *
 * @param hostId unique identifier of the entry host
 * @param zone availability zone the host lies in
 * @param listen addresses the daemon listens on
 * @param platform addresses of the platform's services
 * @param seeds entry hosts to ask for the membership at the start
 * @param tls key files, empty for plain text
 * @param tokens operators' tokens, none for open access
 * @param timings periods and terms
 */
public record DaemonSettings(
    String hostId,
    AvailabilityZone zone,
    ListenAddresses listen,
    PlatformAddresses platform,
    List<HostSpec> seeds,
    TlsSettings tls,
    List<TokenSettings> tokens,
    TimingSettings timings) {
  /** Copies the lists. */
  public DaemonSettings {
    seeds = List.copyOf(seeds);
    tokens = List.copyOf(tokens);
  }

  /** Returns the entry host these settings describe. */
  public HostSpec host() {
    return new HostSpec(hostId, listen.announcedPeer().orElse(listen.peer()), zone);
  }

  /**
   * Addresses a daemon listens on.
   *
   * @param guest requests of guests
   * @param operator operators' interface
   * @param peer peer link
   * @param announcedPeer address that other entry hosts connect to, if it is not {@code peer}
   */
  public record ListenAddresses(
      String guest, String operator, String peer, Optional<String> announcedPeer) {
    /** Creates addresses of which other hosts connect to the one listened on. */
    public ListenAddresses(String guest, String operator, String peer) {
      this(guest, operator, peer, Optional.empty());
    }
  }

  /**
   * Addresses of the platform's services.
   *
   * @param log append-only log
   * @param hostList list of entry hosts and backend servers
   * @param workerList list of workers
   */
  public record PlatformAddresses(String log, String hostList, String workerList) {}

  /**
   * Key files by interface.
   *
   * @param guest keys of the guests' port
   * @param operator keys of the operators' port
   * @param peer keys of the peer link, mutual
   */
  public record TlsSettings(
      Optional<KeyFiles> guest, Optional<KeyFiles> operator, Optional<KeyFiles> peer) {
    /** Plain text everywhere. */
    public static final TlsSettings NONE =
        new TlsSettings(Optional.empty(), Optional.empty(), Optional.empty());
  }

  /**
   * PEM files of one interface.
   *
   * @param certificate path of the certificate chain
   * @param key path of the private key
   * @param trusted path of the certificates that the other side must be signed by, if checked
   */
  public record KeyFiles(String certificate, String key, Optional<String> trusted) {}

  /**
   * An operator's token, of which only a salted hash is held.
   *
   * @param name name shown in logs and as author of changes
   * @param role what the token allows
   * @param team team that the token is limited to
   * @param salt salt in hexadecimal digits
   * @param hash SCrypt hash in hexadecimal digits
   */
  public record TokenSettings(
      String name, OperatorRole role, Optional<String> team, String salt, String hash) {
    @Override
    public String toString() {
      return "token " + name + " (" + role + ")";
    }
  }

  /**
   * Periods and terms in milliseconds.
   *
   * @param heartbeatMillis period of heartbeats between entry hosts
   * @param standingMillis length of a host's standing
   * @param workerLeaseMillis length of a worker's lease
   * @param driftMarginMillis margin for clocks that run at unlike rates
   * @param batchMillis longest wait of a record for others to share an append
   * @param pollMillis period of fetching the platform's lists
   * @param drainMillis longest graceful shutdown
   * @param snapshotMillis period of snapshots
   */
  public record TimingSettings(
      long heartbeatMillis,
      long standingMillis,
      long workerLeaseMillis,
      long driftMarginMillis,
      long batchMillis,
      long pollMillis,
      long drainMillis,
      long snapshotMillis) {
    /** Values of timings that are left out. */
    public static final TimingSettings DEFAULTS =
        new TimingSettings(500, 3_000, 10_000, 500, 20, 1_000, 60_000, 600_000);
  }
}

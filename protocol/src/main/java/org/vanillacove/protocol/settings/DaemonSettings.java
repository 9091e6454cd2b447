package org.vanillacove.protocol.settings;

import java.util.List;
import java.util.Optional;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.HostSpec;

/**
 * Settings of a daemon; addresses are host:port by IP address.
 *
 * @param hostId unique identifier of the entry host
 * @param zone availability zone of the host
 * @param listen addresses the daemon listens on
 * @param platform addresses of the platform's services
 * @param seeds entry hosts that are contacted at startup to learn the membership
 * @param tls TLS key files by interface
 * @param tokens tokens of operators; if there are none, access is open
 * @param timings intervals and lease durations
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
  /** Makes immutable copies of the lists. */
  public DaemonSettings {
    seeds = List.copyOf(seeds);
    tokens = List.copyOf(tokens);
  }

  /** Returns the specification of the entry host that these settings describe. */
  public HostSpec host() {
    return new HostSpec(hostId, listen.announcedPeer().orElse(listen.peer()), zone);
  }

  /**
   * Addresses a daemon listens on.
   *
   * @param guest address for requests of guests
   * @param operator address of the operators' interface
   * @param peer address of the peer link
   * @param announcedPeer address that other entry hosts connect to, empty if it is {@code peer}
   */
  public record ListenAddresses(
      String guest, String operator, String peer, Optional<String> announcedPeer) {
    /** Creates addresses where other hosts connect to the one that {@code peer} listens on. */
    public ListenAddresses(String guest, String operator, String peer) {
      this(guest, operator, peer, Optional.empty());
    }
  }

  /**
   * Addresses of the platform's services.
   *
   * @param log address of the append-only log
   * @param hostList address of the list of entry hosts and backend servers
   * @param workerList address of the list of workers
   */
  public record PlatformAddresses(String log, String hostList, String workerList) {}

  /**
   * TLS key files by interface; an interface without key files uses plain text.
   *
   * @param guest key files of the guests' port
   * @param operator key files of the operators' port
   * @param peer key files of the peer link, where both sides authenticate
   */
  public record TlsSettings(
      Optional<KeyFiles> guest, Optional<KeyFiles> operator, Optional<KeyFiles> peer) {
    /** Plain text on all interfaces. */
    public static final TlsSettings NONE =
        new TlsSettings(Optional.empty(), Optional.empty(), Optional.empty());
  }

  /**
   * PEM files of one interface.
   *
   * @param certificate path of the certificate chain
   * @param key path of the private key
   * @param trusted path of the certificates that must have signed the certificate of the other
   *     side, empty if it is not checked
   */
  public record KeyFiles(String certificate, String key, Optional<String> trusted) {}

  /**
   * An operator's token, of which only a salted hash is stored.
   *
   * @param name name shown in logs and as author of changes
   * @param role role that the token grants
   * @param team team that the token is limited to, empty if it is not limited
   * @param salt salt in hexadecimal digits
   * @param hash scrypt hash in hexadecimal digits
   */
  public record TokenSettings(
      String name, OperatorRole role, Optional<String> team, String salt, String hash) {
    @Override
    public String toString() {
      return "token " + name + " (" + role + ")";
    }
  }

  /**
   * Intervals and lease durations in milliseconds.
   *
   * @param heartbeatMillis interval of heartbeats between entry hosts
   * @param hostLeaseMillis duration of a host lease
   * @param workerLeaseMillis duration of a worker's lease
   * @param driftMarginMillis safety margin for clocks that run at different rates
   * @param batchMillis maximum time that a record waits for others to join its append
   * @param pollMillis interval at which the platform's lists are fetched
   * @param drainMillis maximum duration of a graceful shutdown
   * @param snapshotMillis interval of snapshots
   */
  public record TimingSettings(
      long heartbeatMillis,
      long hostLeaseMillis,
      long workerLeaseMillis,
      long driftMarginMillis,
      long batchMillis,
      long pollMillis,
      long drainMillis,
      long snapshotMillis) {
    /** Values of omitted timings. */
    public static final TimingSettings DEFAULTS =
        new TimingSettings(500, 3_000, 10_000, 500, 20, 1_000, 60_000, 600_000);
  }
}

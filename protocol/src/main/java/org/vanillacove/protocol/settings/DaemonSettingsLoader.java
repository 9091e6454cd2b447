package org.vanillacove.protocol.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Ascii;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.vanillacove.protocol.document.DocumentOutcome;
import org.vanillacove.protocol.document.DocumentReader;
import org.vanillacove.protocol.document.FieldFault;
import org.vanillacove.protocol.settings.DaemonSettings.KeyFiles;
import org.vanillacove.protocol.settings.DaemonSettings.ListenAddresses;
import org.vanillacove.protocol.settings.DaemonSettings.PlatformAddresses;
import org.vanillacove.protocol.settings.DaemonSettings.TimingSettings;
import org.vanillacove.protocol.settings.DaemonSettings.TlsSettings;
import org.vanillacove.protocol.settings.DaemonSettings.TokenSettings;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.HostSpec;

/** Parses and validates the settings of a daemon; thread-safe. */
public final class DaemonSettingsLoader {
  /** Minimum number of heartbeats within the duration of a host lease. */
  private static final int MIN_HEARTBEATS_PER_HOST_LEASE = 2;

  /** Parses the JSON text and checks it against the schema. */
  private final DocumentReader reader =
      new DocumentReader(DaemonSettingsLoader.class, "settings.schema.json");

  /** Parses settings from JSON text. */
  public DocumentOutcome<DaemonSettings> load(String text) {
    return reader.read(text).flatMap(this::toSettings);
  }

  private DocumentOutcome<DaemonSettings> toSettings(JsonNode root) {
    DaemonSettings settings =
        new DaemonSettings(
            root.path("hostId").asText(),
            zone(root),
            listen(root.path("listen")),
            platform(root.path("platform")),
            list(root.path("seeds"), DaemonSettingsLoader::seed),
            tls(root.path("tls")),
            list(root.path("tokens"), DaemonSettingsLoader::token),
            timings(root.path("timings")));
    return DocumentOutcome.of(settings, crossFieldFaults(settings));
  }

  private static List<FieldFault> crossFieldFaults(DaemonSettings settings) {
    List<FieldFault> faults = new ArrayList<>();
    checkAddress("$.listen.guest", settings.listen().guest(), faults);
    checkAddress("$.listen.operator", settings.listen().operator(), faults);
    checkAddress("$.listen.peer", settings.listen().peer(), faults);
    checkAddress("$.platform.log", settings.platform().log(), faults);
    checkAddress("$.platform.hostList", settings.platform().hostList(), faults);
    checkAddress("$.platform.workerList", settings.platform().workerList(), faults);
    checkAnnouncedPeer(settings.listen(), faults);
    checkDistinctPorts(settings.listen(), faults);
    checkSeeds(settings.seeds(), faults);
    checkTokens(settings.tokens(), faults);
    checkTimings(settings.timings(), faults);
    return faults;
  }

  private static void checkAddress(String field, String address, List<FieldFault> faults) {
    try {
      HostAndPort parsed = HostAndPort.fromString(address).requireBracketsForIPv6();
      if (!InetAddresses.isInetAddress(parsed.getHost())) {
        faults.add(new FieldFault(field, "the host must be an IP address: " + address));
      }
      if (!parsed.hasPort()) {
        faults.add(new FieldFault(field, "the port is missing: " + address));
      }
    } catch (IllegalArgumentException e) {
      faults.add(new FieldFault(field, "not an address as IP:PORT: " + address));
    }
  }

  private static void checkAnnouncedPeer(ListenAddresses listen, List<FieldFault> faults) {
    if (listen.announcedPeer().isPresent()) {
      String announced = listen.announcedPeer().get();
      checkAddress("$.listen.announcedPeer", announced, faults);
      if (isWildcard(announced)) {
        faults.add(
            new FieldFault(
                "$.listen.announcedPeer", "other hosts cannot connect to a wildcard address"));
      }
    } else if (isWildcard(listen.peer())) {
      faults.add(
          new FieldFault(
              "$.listen.announcedPeer", "required where $.listen.peer is a wildcard address"));
    }
  }

  private static boolean isWildcard(String address) {
    try {
      String host = HostAndPort.fromString(address).getHost();
      return InetAddresses.isInetAddress(host) && InetAddresses.forString(host).isAnyLocalAddress();
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  private static void checkDistinctPorts(ListenAddresses listen, List<FieldFault> faults) {
    if (listen.operator().equals(listen.guest()) && !listen.operator().endsWith(":0")) {
      faults.add(new FieldFault("$.listen.operator", "the same address as $.listen.guest"));
    }
    if (listen.peer().equals(listen.guest()) || listen.peer().equals(listen.operator())) {
      if (!listen.peer().endsWith(":0")) {
        faults.add(new FieldFault("$.listen.peer", "the same address as another listener"));
      }
    }
  }

  private static void checkSeeds(List<HostSpec> seeds, List<FieldFault> faults) {
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < seeds.size(); i++) {
      HostSpec seed = seeds.get(i);
      checkAddress("$.seeds[" + i + "].peer", seed.peerAddress(), faults);
      if (!seen.add(seed.id())) {
        faults.add(new FieldFault("$.seeds[" + i + "].hostId", "named twice: " + seed.id()));
      }
    }
  }

  private static void checkTokens(List<TokenSettings> tokens, List<FieldFault> faults) {
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < tokens.size(); i++) {
      if (!seen.add(tokens.get(i).name())) {
        faults.add(
            new FieldFault("$.tokens[" + i + "].name", "named twice: " + tokens.get(i).name()));
      }
    }
  }

  private static void checkTimings(TimingSettings timings, List<FieldFault> faults) {
    if (timings.hostLeaseMillis() < MIN_HEARTBEATS_PER_HOST_LEASE * timings.heartbeatMillis()) {
      faults.add(
          new FieldFault(
              "$.timings.standingMillis",
              "shorter than two heartbeats of " + timings.heartbeatMillis() + " ms"));
    }
    if (timings.workerLeaseMillis() <= timings.hostLeaseMillis()) {
      faults.add(
          new FieldFault(
              "$.timings.workerLeaseMillis",
              "must be longer than the host lease of " + timings.hostLeaseMillis() + " ms"));
    }
  }

  private static AvailabilityZone zone(JsonNode node) {
    return new AvailabilityZone(
        node.path("region").asText(), node.path("availabilityZone").asText());
  }

  private static ListenAddresses listen(JsonNode node) {
    return new ListenAddresses(
        node.path("guest").asText(),
        node.path("operator").asText(),
        node.path("peer").asText(),
        Optional.ofNullable(node.get("announcedPeer")).map(JsonNode::asText));
  }

  private static PlatformAddresses platform(JsonNode node) {
    return new PlatformAddresses(
        node.path("log").asText(),
        node.path("hostList").asText(),
        node.path("workerList").asText());
  }

  private static HostSpec seed(JsonNode node) {
    return new HostSpec(node.path("hostId").asText(), node.path("peer").asText(), zone(node));
  }

  private static TlsSettings tls(JsonNode node) {
    return new TlsSettings(
        keyFiles(node.get("guest")), keyFiles(node.get("operator")), keyFiles(node.get("peer")));
  }

  private static Optional<KeyFiles> keyFiles(JsonNode node) {
    return Optional.ofNullable(node)
        .map(
            files ->
                new KeyFiles(
                    files.path("certificate").asText(),
                    files.path("key").asText(),
                    Optional.ofNullable(files.get("trusted")).map(JsonNode::asText)));
  }

  private static TokenSettings token(JsonNode node) {
    return new TokenSettings(
        node.path("name").asText(),
        OperatorRole.valueOf(Ascii.toUpperCase(node.path("role").asText())),
        Optional.ofNullable(node.get("team")).map(JsonNode::asText),
        node.path("salt").asText(),
        node.path("hash").asText());
  }

  private static TimingSettings timings(JsonNode node) {
    TimingSettings defaults = TimingSettings.DEFAULTS;
    return new TimingSettings(
        node.path("heartbeatMillis").asLong(defaults.heartbeatMillis()),
        node.path("standingMillis").asLong(defaults.hostLeaseMillis()),
        node.path("workerLeaseMillis").asLong(defaults.workerLeaseMillis()),
        node.path("driftMarginMillis").asLong(defaults.driftMarginMillis()),
        node.path("batchMillis").asLong(defaults.batchMillis()),
        node.path("pollMillis").asLong(defaults.pollMillis()),
        node.path("drainMillis").asLong(defaults.drainMillis()),
        node.path("snapshotMillis").asLong(defaults.snapshotMillis()));
  }

  private static <T> List<T> list(JsonNode node, Function<JsonNode, T> element) {
    List<T> elements = new ArrayList<>();
    node.forEach(item -> elements.add(element.apply(item)));
    return elements;
  }
}

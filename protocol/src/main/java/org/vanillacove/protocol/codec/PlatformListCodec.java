package org.vanillacove.protocol.codec;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkerSpec;

/** Converts the platform's host list and worker list to JSON and back. */
public final class PlatformListCodec {
  /** JSON mapper that ignores unknown fields, since the platform may add some. */
  private static final ObjectMapper MAPPER =
      new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

  private PlatformListCodec() {}

  /** Returns a host list as a JSON document. */
  public static byte[] encodeHosts(List<ListedHost> hosts) {
    return write(new HostDocument(hosts.stream().map(HostEntry::of).toList()));
  }

  /**
   * Returns the hosts listed in a JSON document.
   *
   * @throws IOException if the document is malformed; the message names the field and the reason
   */
  public static List<ListedHost> decodeHosts(byte[] document) throws IOException {
    return MAPPER.readValue(document, HostDocument.class).hosts.stream()
        .map(HostEntry::toHost)
        .toList();
  }

  /** Returns a worker list as a JSON document. */
  public static byte[] encodeWorkers(List<WorkerSpec> workers) {
    return write(new WorkerDocument(workers.stream().map(WorkerEntry::of).toList()));
  }

  /**
   * Returns the workers listed in a JSON document.
   *
   * @throws IOException if the document is malformed; the message names the field and the reason
   */
  public static List<WorkerSpec> decodeWorkers(byte[] document) throws IOException {
    return MAPPER.readValue(document, WorkerDocument.class).workers.stream()
        .map(WorkerEntry::toWorker)
        .toList();
  }

  private static byte[] write(Object document) {
    try {
      return MAPPER.writeValueAsBytes(document);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot write a host or worker list as JSON", e);
    }
  }

  private static <T> T require(T value, String field) {
    if (value == null) {
      throw new IllegalArgumentException(field + ": missing");
    }
    return value;
  }

  private static String requireText(String text, String field) {
    if (require(text, field).isBlank()) {
      throw new IllegalArgumentException(field + ": must not be blank");
    }
    return text;
  }

  private static String requireAddress(String address, String field) {
    HostAndPort parsed = HostAndPort.fromString(requireText(address, field));
    if (!parsed.hasPort()) {
      throw new IllegalArgumentException(field + ": must be host:port, is " + address);
    }
    return address;
  }

  private static long requireAmount(long amount, String field) {
    if (amount < 0) {
      throw new IllegalArgumentException(field + ": must not be negative, is " + amount);
    }
    return amount;
  }

  /**
   * Root of a host list document.
   *
   * @param hosts entries, one for each host
   */
  private record HostDocument(@JsonProperty(required = true) List<HostEntry> hosts) {
    HostDocument {
      require(hosts, "hosts");
    }
  }

  /**
   * A host as listed in the document.
   *
   * @param id unique identifier
   * @param role role in lower case
   * @param address address as host:port
   * @param region name of the region
   * @param zone name of the availability zone
   * @param leaving whether the host is about to leave
   */
  private record HostEntry(
      String id, String role, String address, String region, String zone, boolean leaving) {
    HostEntry {
      requireText(id, "id");
      ListedHost.Role.valueOf(requireText(role, "role").toUpperCase(Locale.ROOT));
      requireAddress(address, "address");
      requireText(region, "region");
      requireText(zone, "zone");
    }

    private static HostEntry of(ListedHost host) {
      return new HostEntry(
          host.id(),
          host.role().name().toLowerCase(Locale.ROOT),
          host.address(),
          host.zone().region(),
          host.zone().name(),
          host.leaving());
    }

    private ListedHost toHost() {
      return new ListedHost(
          id,
          ListedHost.Role.valueOf(role.toUpperCase(Locale.ROOT)),
          address,
          new AvailabilityZone(region, zone),
          leaving);
    }
  }

  /**
   * Root of a worker list document.
   *
   * @param workers entries, one for each worker
   */
  private record WorkerDocument(@JsonProperty(required = true) List<WorkerEntry> workers) {
    WorkerDocument {
      require(workers, "workers");
    }
  }

  /**
   * A worker as listed in the document.
   *
   * @param id unique identifier
   * @param address address as host:port
   * @param region name of the region
   * @param zone name of the availability zone
   * @param rack name of the rack
   * @param cpuMillis thousandths of a processor core
   * @param memoryMib mebibytes of memory
   * @param accelerators whole accelerator devices
   * @param acceleratorKind kind of its accelerators, null if it has none
   * @param labels labels by name, null if it has none
   */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  private record WorkerEntry(
      String id,
      String address,
      String region,
      String zone,
      String rack,
      @JsonProperty(required = true) long cpuMillis,
      @JsonProperty(required = true) long memoryMib,
      int accelerators,
      String acceleratorKind,
      Map<String, String> labels) {
    WorkerEntry {
      requireText(id, "id");
      requireAddress(address, "address");
      requireText(region, "region");
      requireText(zone, "zone");
      requireText(rack, "rack");
      requireAmount(cpuMillis, "cpuMillis");
      requireAmount(memoryMib, "memoryMib");
      requireAmount(accelerators, "accelerators");
    }

    private static WorkerEntry of(WorkerSpec worker) {
      return new WorkerEntry(
          worker.id(),
          worker.address(),
          worker.zone().region(),
          worker.zone().name(),
          worker.rack(),
          worker.capacity().cpuMillis(),
          worker.capacity().memoryMib(),
          worker.capacity().accelerators(),
          worker.acceleratorKind().orElse(null),
          worker.labels());
    }

    private WorkerSpec toWorker() {
      return new WorkerSpec(
          id,
          address,
          new AvailabilityZone(region, zone),
          rack,
          new Resources(cpuMillis, memoryMib, accelerators),
          Optional.ofNullable(acceleratorKind),
          labels == null ? Map.of() : labels);
    }
  }
}

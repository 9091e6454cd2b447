package org.vanillacove.daemon.local;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.IntStream;
import org.vanillacove.coordination.timer.ScheduledTimerService;
import org.vanillacove.daemon.host.EntryHost;
import org.vanillacove.daemon.host.HostStartException;
import org.vanillacove.protocol.settings.DaemonSettings;
import org.vanillacove.protocol.settings.DaemonSettings.ListenAddresses;
import org.vanillacove.protocol.settings.DaemonSettings.PlatformAddresses;
import org.vanillacove.protocol.settings.DaemonSettings.TimingSettings;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.HostSpec;

/** Three entry hosts and a simulated platform in one process. */
public final class LocalCell implements AutoCloseable {
  /** Number of entry hosts. */
  private static final int HOSTS = 3;

  /** Ports of all hosts, the platform and the workers. */
  private final LocalPorts ports;

  /** Clock and timers of the simulated platform. */
  private final ScheduledTimerService timer = new ScheduledTimerService();

  /** Simulated platform with workers and backend servers. */
  private final LocalPlatform platform;

  /** Generated TLS keys of the hosts. */
  private final LocalKeys keys;

  /** Entry hosts in the order of their numbers. */
  private final List<EntryHost> hosts = new ArrayList<>();

  /**
   * Starts the cell.
   *
   * @param portBase first port
   * @param keyDirectory directory for the generated keys of the operators' and guests' ports, empty
   *     for plain text at these ports; peer links always use TLS
   * @throws HostStartException if a port cannot be used
   */
  public LocalCell(int portBase, Optional<Path> keyDirectory) throws HostStartException {
    ports = new LocalPorts(portBase);
    keys = new LocalKeys(keyDirectory);
    platform = startPlatform();
    for (int index = 0; index < HOSTS; index++) {
      startHost(index);
    }
  }

  /** Returns whether all hosts are ready, one leads and the first knows all workers. */
  public boolean isReady() {
    return hosts.stream().allMatch(EntryHost::isReady)
        && hosts.stream().anyMatch(host -> host.node().isLeader())
        && hosts.getFirst().node().workers().size() == platform.workers().size();
  }

  /** Returns the line that reports the cell's addresses once it is ready. */
  public String readyLine() {
    return "ready operator="
        + ports.operator(0)
        + " guest="
        + ports.guest(0)
        + keys.trusted().map(file -> " trusted=" + file).orElse("");
  }

  /** Returns the entry hosts. */
  public List<EntryHost> hosts() {
    return List.copyOf(hosts);
  }

  /** Returns the simulated platform. */
  public LocalPlatform platform() {
    return platform;
  }

  /** Shuts down all hosts gracefully at the same time, then closes the cell. */
  public void drain() {
    CompletableFuture<?>[] drained =
        hosts.stream().map(EntryHost::drain).toArray(CompletableFuture<?>[]::new);
    CompletableFuture.allOf(drained).join();
    close();
  }

  @Override
  public void close() {
    hosts.forEach(EntryHost::close);
    platform.close();
    keys.close();
    timer.close();
  }

  private LocalPlatform startPlatform() throws HostStartException {
    try {
      return new LocalPlatform(ports.platform(), ports::worker, timer);
    } catch (CompletionException e) {
      timer.close();
      keys.close();
      throw new HostStartException("--port-base", "cannot listen on a port", e);
    }
  }

  private void startHost(int index) throws HostStartException {
    try {
      EntryHost host = new EntryHost(settings(index));
      hosts.add(host);
      host.start();
    } catch (HostStartException e) {
      close();
      throw e;
    }
  }

  private DaemonSettings settings(int index) throws HostStartException {
    AvailabilityZone zone = LocalPlatform.zoneOfHost(index);
    String address = platform.address();
    return new DaemonSettings(
        hostId(index),
        zone,
        new ListenAddresses(ports.guest(index), ports.operator(index), ports.peer(index)),
        new PlatformAddresses(address, address, address),
        IntStream.range(0, HOSTS).mapToObj(this::spec).toList(),
        keys.settings(hostId(index)),
        List.of(),
        TimingSettings.DEFAULTS);
  }

  private HostSpec spec(int index) {
    return new HostSpec(hostId(index), ports.peer(index), LocalPlatform.zoneOfHost(index));
  }

  private static String hostId(int index) {
    return "host-" + (index + 1);
  }
}

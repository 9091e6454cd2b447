package org.vanillacove.bench.config;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.coordination.api.CellTimings;
import org.vanillacove.coordination.cell.CellNode;
import org.vanillacove.coordination.configuration.ConfigurationService;
import org.vanillacove.coordination.operator.OperatorChannel;
import org.vanillacove.protocol.peer.PeerLink;
import org.vanillacove.protocol.platform.PlatformLog;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.standin.memory.MemoryWorkerGateway;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.placement.FirstFitPlacer;

/** Incarnation of an entry host with its configuration service. */
final class ConfigHost implements AutoCloseable {
  /** Cell node of the host. */
  private final CellNode node;

  /** Configuration service that uses the node. */
  private final ConfigurationService service;

  /** Whether the node has caught up with the log since it started. */
  private boolean ready;

  /** Highest version seen in force on the host, in this or an earlier incarnation. */
  private long highestVersion;

  /** Starts {@code self}, which had at most {@code highestBefore} in force before. */
  ConfigHost(
      HostSpec self,
      List<HostSpec> seeds,
      PlatformLog log,
      PeerLink link,
      TimerService timer,
      long highestBefore) {
    this.highestVersion = highestBefore;
    this.node =
        new CellNode(
            self,
            seeds,
            log,
            new MemoryWorkerGateway(),
            () -> CompletableFuture.completedFuture(Optional.of(List.of())),
            link,
            timer,
            (kind, subject, text) -> {},
            FirstFitPlacer::new,
            CellTimings.DEFAULTS);
    this.service =
        new ConfigurationService(node, node, new OperatorChannel(link, node), self.id(), timer);
    node.start();
  }

  ConfigurationService service() {
    return service;
  }

  /** Returns whether the host accepts requests, because it has caught up once. */
  boolean isReady() {
    ready = ready || node.isCaughtUp();
    return ready;
  }

  /** Returns the configuration version in force on the host. */
  long version() {
    return service.inForce().current().version();
  }

  /** Polls the version in force and returns whether it is lower than the highest before. */
  boolean observeRevert() {
    long version = version();
    boolean fell = isReady() && version < highestVersion;
    highestVersion = Math.max(highestVersion, version);
    return fell;
  }

  /** Returns the highest version seen in force on the host. */
  long highestVersion() {
    return highestVersion;
  }

  @Override
  public void close() {
    node.close();
  }
}

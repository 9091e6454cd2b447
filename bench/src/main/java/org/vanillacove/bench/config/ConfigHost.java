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

/** One run of an entry host with its configuration service. */
final class ConfigHost implements AutoCloseable {
  /** The node. */
  private final CellNode node;

  /** Its configuration. */
  private final ConfigurationService service;

  /** Whether it has caught up once. */
  private boolean ready;

  /** Highest version that was in force on the host before this run or in it. */
  private long highest;

  /** Starts a run of {@code self} after one that had {@code highestBefore} in force. */
  ConfigHost(
      HostSpec self,
      List<HostSpec> seeds,
      PlatformLog log,
      PeerLink link,
      TimerService timer,
      long highestBefore) {
    this.highest = highestBefore;
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

  /** Returns whether the host takes work, which it does once it has caught up. */
  boolean isReady() {
    ready = ready || node.isCaughtUp();
    return ready;
  }

  /** Returns the version in force. */
  long version() {
    return service.inForce().current().version();
  }

  /** Looks at the version in force and returns whether it fell. */
  boolean observeRevert() {
    long version = version();
    boolean fell = isReady() && version < highest;
    highest = Math.max(highest, version);
    return fell;
  }

  /** Returns the highest version that was in force. */
  long highest() {
    return highest;
  }

  @Override
  public void close() {
    node.close();
  }
}

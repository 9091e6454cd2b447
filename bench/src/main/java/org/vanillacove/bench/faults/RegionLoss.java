package org.vanillacove.bench.faults;

import java.time.Duration;
import java.util.Optional;
import org.apache.commons.math3.random.RandomGenerator;
import org.vanillacove.coordination.api.CellView;
import org.vanillacove.coordination.api.ProposalOutcome;
import org.vanillacove.coordination.cell.CellNode;
import org.vanillacove.standin.memory.WorkerModel;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.WorkerStatus;

/**
 * Loses a region with everything that runs in it and has an operator declare it lost. The region is
 * restored only after all running hosts have applied the declaration, because by declaring it the
 * operator guarantees that nothing runs there.
 */
final class RegionLoss {
  /** Time between two polls for whether the declaration is applied, in milliseconds. */
  private static final long POLL_MILLIS = 2_000;

  /** Deadline of the request that declares the region lost. */
  private static final Duration DEADLINE = Duration.ofSeconds(2);

  /** Cell that loses the region. */
  private final FaultyCell cell;

  /** Source of the random choices of the schedule. */
  private final RandomGenerator random;

  /** Name of the lost region, empty if none is lost. */
  private Optional<String> lostRegion = Optional.empty();

  /** Whether a declaration is pending, so that no second one is sent yet. */
  private boolean declarationPending;

  RegionLoss(FaultyCell cell, RandomGenerator random) {
    this.cell = cell;
    this.random = random;
  }

  /** Returns whether a region is lost. */
  boolean isActive() {
    return lostRegion.isPresent();
  }

  /** Returns whether a host is in the lost region. */
  boolean hasLostHost(String hostId) {
    return cell.hosts.stream()
        .anyMatch(host -> host.id().equals(hostId) && isLost(host.zone().region()));
  }

  /** Returns whether a worker is in the lost region. */
  boolean hasLostWorker(String workerId) {
    return isLost(cell.workers.get(workerId).spec().zone().region());
  }

  /** Kills the hosts of a region, reboots its workers and cuts them off until it is restored. */
  void lose(String name) {
    lostRegion = Optional.of(name);
    for (HostSpec host : cell.hosts) {
      if (isLost(host.zone().region()) && cell.liveNodes.containsKey(host.id())) {
        cell.kill(host.id());
      }
    }
    for (WorkerModel worker : cell.workers.values()) {
      if (isLost(worker.spec().zone().region())) {
        cell.gateway.setUnreachable(worker.spec().id(), true);
        worker.reboot();
      }
    }
    poll();
  }

  private void poll() {
    if (isAppliedEverywhere()) {
      restoreRegion();
      return;
    }
    if (!declarationPending && !cell.liveNodes.isEmpty()) {
      declare();
    }
    cell.clock.after(Duration.ofMillis(POLL_MILLIS), this::poll);
  }

  private void declare() {
    declarationPending = true;
    CellNode node =
        cell.liveNodes.values().stream().toList().get(random.nextInt(cell.liveNodes.size()));
    node.declareLost(lostRegion.orElseThrow(), Optional.empty(), "lost", DEADLINE)
        .thenAccept(outcome -> onDeclarationOutcome(outcome));
    // The host may be killed before it answers; the declaration is then sent again.
    cell.clock.after(DEADLINE.multipliedBy(2), () -> declarationPending = false);
  }

  private void onDeclarationOutcome(ProposalOutcome outcome) {
    declarationPending = outcome instanceof ProposalOutcome.Accepted;
  }

  private boolean isAppliedEverywhere() {
    return !cell.liveNodes.isEmpty() && cell.liveNodes.values().stream().allMatch(this::hasApplied);
  }

  private boolean hasApplied(CellNode node) {
    for (CellView.WorkerView worker : node.workers()) {
      if (isLost(worker.spec().zone().region()) && worker.status() != WorkerStatus.LOST) {
        return false;
      }
    }
    return !node.workers().isEmpty();
  }

  private void restoreRegion() {
    for (HostSpec host : cell.hosts) {
      if (isLost(host.zone().region()) && !cell.liveNodes.containsKey(host.id())) {
        cell.start(host.id());
      }
    }
    for (WorkerModel worker : cell.workers.values()) {
      if (isLost(worker.spec().zone().region())) {
        cell.gateway.setUnreachable(worker.spec().id(), false);
      }
    }
    lostRegion = Optional.empty();
  }

  private boolean isLost(String name) {
    return lostRegion.equals(Optional.of(name));
  }
}

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
 * Loses a region with all that runs in it and lets an operator declare it lost. The region comes
 * back once all living hosts have folded the declaration, since it is the operator's word that
 * nothing runs there.
 */
final class RegionLoss {
  /** Time between two looks whether the declaration is folded, in milliseconds. */
  private static final long LOOK_MILLIS = 2_000;

  /** Deadline of the declaration. */
  private static final Duration DEADLINE = Duration.ofSeconds(2);

  /** The cell. */
  private final FaultyCell cell;

  /** Random numbers of the schedule. */
  private final RandomGenerator random;

  /** The region that is away, empty if none is. */
  private Optional<String> region = Optional.empty();

  /** Whether a declaration waits for its outcome. */
  private boolean declaring;

  RegionLoss(FaultyCell cell, RandomGenerator random) {
    this.cell = cell;
    this.random = random;
  }

  /** Returns whether a region is away. */
  boolean isActive() {
    return region.isPresent();
  }

  /** Returns whether a host is in the region that is away. */
  boolean hasLostHost(String hostId) {
    return cell.hosts.stream()
        .anyMatch(host -> host.id().equals(hostId) && isAway(host.zone().region()));
  }

  /** Returns whether a worker is in the region that is away. */
  boolean hasLostWorker(String workerId) {
    return isAway(cell.workers.get(workerId).spec().zone().region());
  }

  /** Loses a region. */
  void lose(String name) {
    region = Optional.of(name);
    for (HostSpec host : cell.hosts) {
      if (isAway(host.zone().region()) && cell.nodes.containsKey(host.id())) {
        cell.kill(host.id());
      }
    }
    for (WorkerModel worker : cell.workers.values()) {
      if (isAway(worker.spec().zone().region())) {
        cell.gateway.setCutOff(worker.spec().id(), true);
        worker.reboot();
      }
    }
    look();
  }

  private void look() {
    if (isFoldedEverywhere()) {
      comeBack();
      return;
    }
    if (!declaring && !cell.nodes.isEmpty()) {
      declare();
    }
    cell.clock.after(Duration.ofMillis(LOOK_MILLIS), this::look);
  }

  private void declare() {
    declaring = true;
    CellNode node = cell.nodes.values().stream().toList().get(random.nextInt(cell.nodes.size()));
    node.declareLost(region.orElseThrow(), Optional.empty(), "lost", DEADLINE)
        .thenAccept(outcome -> declared(outcome));
    // A host that dies does not answer any more.
    cell.clock.after(DEADLINE.multipliedBy(2), () -> declaring = false);
  }

  private void declared(ProposalOutcome outcome) {
    declaring = outcome instanceof ProposalOutcome.Accepted;
  }

  private boolean isFoldedEverywhere() {
    return !cell.nodes.isEmpty() && cell.nodes.values().stream().allMatch(this::hasFolded);
  }

  private boolean hasFolded(CellNode node) {
    for (CellView.WorkerView worker : node.workers()) {
      if (isAway(worker.spec().zone().region()) && worker.status() != WorkerStatus.LOST) {
        return false;
      }
    }
    return !node.workers().isEmpty();
  }

  private void comeBack() {
    for (HostSpec host : cell.hosts) {
      if (isAway(host.zone().region()) && !cell.nodes.containsKey(host.id())) {
        cell.start(host.id());
      }
    }
    for (WorkerModel worker : cell.workers.values()) {
      if (isAway(worker.spec().zone().region())) {
        cell.gateway.setCutOff(worker.spec().id(), false);
      }
    }
    region = Optional.empty();
  }

  private boolean isAway(String name) {
    return region.equals(Optional.of(name));
  }
}

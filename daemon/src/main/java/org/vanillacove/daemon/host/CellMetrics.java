package org.vanillacove.daemon.host;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.function.ToDoubleFunction;
import org.vanillacove.coordination.api.CellView;
import org.vanillacove.coordination.cell.CellNode;
import org.vanillacove.state.api.WorkerStatus;

/** Exports the cell state that this host has applied as gauges. */
final class CellMetrics {
  private CellMetrics() {}

  /** Registers the gauges; their values are computed at each scrape. */
  static void register(CellNode node, MeterRegistry meters) {
    gauge(node, meters, "cell.leader", cell -> cell.isLeader() ? 1 : 0);
    gauge(node, meters, "cell.epoch", cell -> cell.status().epoch());
    gauge(node, meters, "cell.folded.offset", cell -> cell.status().foldedOffset());
    gauge(node, meters, "cell.log.reachable", cell -> cell.status().logReachable() ? 1 : 0);
    gauge(node, meters, "cell.hosts", cell -> cell.status().hosts().size());
    gauge(node, meters, "cell.configuration.version", CellView::configurationVersion);
    gauge(node, meters, "cell.workers.active", CellMetrics::activeWorkers);
    gauge(node, meters, "cell.tasks.running", CellMetrics::runningTasks);
  }

  private static void gauge(
      CellNode node, MeterRegistry meters, String name, ToDoubleFunction<CellNode> value) {
    Gauge.builder(name, node, value).register(meters);
  }

  private static double activeWorkers(CellView view) {
    return view.workers().stream().filter(worker -> worker.status() == WorkerStatus.ACTIVE).count();
  }

  private static double runningTasks(CellView view) {
    return view.workers().stream().mapToInt(CellView.WorkerView::runningTasks).sum();
  }
}

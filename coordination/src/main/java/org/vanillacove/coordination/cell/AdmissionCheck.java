package org.vanillacove.coordination.cell;

import java.util.Optional;
import java.util.function.Supplier;
import org.vanillacove.coordination.stream.CellStore;
import org.vanillacove.coordination.stream.RecordListener;
import org.vanillacove.coordination.stream.SerialExecutor;
import org.vanillacove.state.api.Admission;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.Placer;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.cell.ApplyOutcome;
import org.vanillacove.state.cell.CellState;
import org.vanillacove.state.cell.WorkerState;

/**
 * Checks on any host whether a job could ever run on the workers of the cell. Draining workers
 * count, since they may get tasks again.
 */
final class AdmissionCheck implements RecordListener {
  /** Cell state built from the records of the log. */
  private final CellStore store;

  /** Creates the placer that checks jobs. */
  private final Supplier<Placer> placers;

  /** Executor that guards the placer. */
  private final SerialExecutor shard = new SerialExecutor();

  /** Placer with all workers and no jobs, empty if workers changed since it was built. */
  private Optional<Placer> placer = Optional.empty();

  AdmissionCheck(CellStore store, Supplier<Placer> placers) {
    this.store = store;
    this.placers = placers;
  }

  /** Returns why a job can never run, empty if it can or if no worker is known yet. */
  Optional<Admission.NeverFits> check(JobSpec spec) {
    if (store.read(state -> state.workers().isEmpty())) {
      return Optional.empty();
    }
    Admission admission =
        shard.read(
            () -> {
              if (placer.isEmpty()) {
                placer = Optional.of(store.read(this::build));
              }
              return placer.get().check(spec);
            });
    return admission instanceof Admission.NeverFits never ? Optional.of(never) : Optional.empty();
  }

  @Override
  public void recordApplied(long offset, RecordEnvelope envelope, ApplyOutcome outcome) {
    boolean changesWorkers =
        switch (envelope.record()) {
          case CellRecord.WorkerJoined joined -> true;
          case CellRecord.WorkerChanged changed -> true;
          case CellRecord.DomainDeclaredLost lost -> true;
          default -> false;
        };
    if (changesWorkers) {
      stateReplaced();
    }
  }

  @Override
  public void stateReplaced() {
    shard.execute(() -> placer = Optional.empty());
  }

  private Placer build(CellState state) {
    Placer built = placers.get();
    for (WorkerState worker : state.workers()) {
      if (worker.status() != WorkerStatus.LOST) {
        built.addWorker(worker.spec());
      }
    }
    return built;
  }
}

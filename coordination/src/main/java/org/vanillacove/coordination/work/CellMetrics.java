package org.vanillacove.coordination.work;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Locale;

/** Counts what the cell decides and how long callers and tasks wait. */
public final class CellMetrics {
  /** Longest wait that the histograms tell apart. */
  private static final Duration LONGEST = Duration.ofSeconds(30);

  /** Where the meters are kept. */
  private final MeterRegistry registry;

  /** Time from a submission to its durable acceptance. */
  private final Timer acceptance;

  /** Time from the first submission to the durable end of a job. */
  private final Timer completion;

  /** Time for which a step waited for room after its predecessors were done. */
  private final Timer placement;

  /** Creates meters in {@code registry}. */
  public CellMetrics(MeterRegistry registry) {
    this.registry = registry;
    acceptance = timer("jobs.acceptance");
    completion = timer("jobs.completion");
    placement = timer("steps.placement");
  }

  void accepted(long millis) {
    acceptance.record(Duration.ofMillis(millis));
    count("jobs.submitted", "accepted");
  }

  void rejected(String reason) {
    count("jobs.submitted", reason);
  }

  void finished(TrackedJob.Stage stage, long millis) {
    completion.record(Duration.ofMillis(millis));
    count("jobs.ended", name(stage));
  }

  void placed(long waitedMillis) {
    placement.record(Duration.ofMillis(Math.max(0, waitedMillis)));
  }

  /** Counts an event of a run by its kind: started, lost, the cause of an end or of a refusal. */
  void run(Enum<?> kind) {
    count("runs", name(kind));
  }

  private Timer timer(String name) {
    return Timer.builder(name)
        .publishPercentileHistogram()
        .maximumExpectedValue(LONGEST)
        .register(registry);
  }

  private void count(String name, String outcome) {
    registry.counter(name, "outcome", outcome).increment();
  }

  private static String name(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}

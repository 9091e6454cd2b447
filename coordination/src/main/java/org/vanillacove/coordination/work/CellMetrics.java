package org.vanillacove.coordination.work;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Locale;

/** Counters of scheduling decisions and timers of acceptance, completion and placement. */
public final class CellMetrics {
  /** Upper bound of the histograms; longer waits fall into the last bucket. */
  private static final Duration MAX_EXPECTED_WAIT = Duration.ofSeconds(30);

  /** Registry of the meters of this process. */
  private final MeterRegistry registry;

  /** Time from a submission to its durable acceptance. */
  private final Timer acceptance;

  /** Time from the first submission to the durable end of a job. */
  private final Timer completion;

  /** Time from the readiness of a step to the start of each of its tasks. */
  private final Timer placement;

  /** Time from the first start command of a gang's run until all members are confirmed. */
  private final Timer gangCompletion;

  /** Creates meters in {@code registry}. */
  public CellMetrics(MeterRegistry registry) {
    this.registry = registry;
    acceptance = timer("jobs.acceptance");
    completion = timer("jobs.completion");
    placement = timer("steps.placement");
    gangCompletion = timer("gangs.completion");
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

  /** Counts an event of a run by its kind: a phase, the cause of an end or of a refusal. */
  void countRunEvent(Enum<?> kind) {
    count("runs", name(kind));
  }

  void gangCompleted(long millis) {
    gangCompletion.record(Duration.ofMillis(millis));
  }

  /** Counts a stopped run of a gang by the refusal, end or shortfall of its members. */
  void gangStopped(Enum<?> reason) {
    count("gangs.stopped", name(reason));
  }

  /** Counts an event of a step that waits for a place near its data or its group. */
  void nearWait(LocalityPlanner.WaitOutcome outcome) {
    count("near.waits", name(outcome));
  }

  private Timer timer(String name) {
    return Timer.builder(name)
        .publishPercentileHistogram()
        .maximumExpectedValue(MAX_EXPECTED_WAIT)
        .register(registry);
  }

  private void count(String name, String outcome) {
    registry.counter(name, "outcome", outcome).increment();
  }

  private static String name(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}

package org.vanillacove.coordination.work;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.vanillacove.state.api.Resources;

/** Counters of scheduling decisions and timers of acceptance, completion and placement. */
public final class CellMetrics {
  /** Upper bound of the histograms; longer waits fall into the last bucket. */
  private static final Duration MAX_EXPECTED_WAIT = Duration.ofSeconds(30);

  /** Label that names an organisation. */
  private static final String ORGANISATION = "organisation";

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

  /** What the runs of each organisation use, by component. */
  private final MultiGauge used;

  /** Cap of each organisation, by component. */
  private final MultiGauge caps;

  /** Dominant use of each organisation. */
  private final MultiGauge shares;

  /** Accepted jobs of each organisation of which no task has started. */
  private final MultiGauge waitingJobs;

  /** Jobs of each organisation that were rejected in this term. */
  private final MultiGauge rejectedJobs;

  /** Age of the oldest waiting job of each organisation. */
  private final MultiGauge oldestWaits;

  /** Creates meters in {@code registry}. */
  public CellMetrics(MeterRegistry registry) {
    this.registry = registry;
    acceptance = timer("jobs.acceptance");
    completion = timer("jobs.completion");
    placement = timer("steps.placement");
    gangCompletion = timer("gangs.completion");
    used = gauges("organisations.used");
    caps = gauges("organisations.cap");
    shares = gauges("organisations.share");
    waitingJobs = gauges("organisations.waiting.jobs");
    rejectedJobs = gauges("organisations.rejected.jobs");
    oldestWaits = gauges("organisations.oldest.wait.seconds");
  }

  void accepted(long millis) {
    acceptance.record(Duration.ofMillis(millis));
    count("jobs.submitted", "accepted");
  }

  void rejected(String reason) {
    count("jobs.submitted", reason);
  }

  /** Counts the cancellation of an unknown job by the outcome of its tombstone's write. */
  void countTombstone(String outcome) {
    count("jobs.tombstones", outcome);
  }

  void finished(TrackedJob.Stage stage, long millis) {
    completion.record(Duration.ofMillis(millis));
    count("jobs.ended", name(stage));
  }

  void placed(long waitedMillis) {
    placement.record(Duration.ofMillis(Math.max(0, waitedMillis)));
  }

  /** Replaces the values of all organisations; those that are missing are withdrawn. */
  void organisations(List<OrganisationReport.Row> rows) {
    List<MultiGauge.Row<?>> usedRows = new ArrayList<>();
    List<MultiGauge.Row<?>> capRows = new ArrayList<>();
    for (OrganisationReport.Row row : rows) {
      addComponents(usedRows, row.name(), row.use());
      addComponents(capRows, row.name(), row.cap());
    }
    used.register(usedRows, true);
    caps.register(capRows, true);
    shares.register(values(rows, OrganisationReport.Row::share), true);
    waitingJobs.register(values(rows, OrganisationReport.Row::waitingJobs), true);
    rejectedJobs.register(values(rows, OrganisationReport.Row::rejectedJobs), true);
    oldestWaits.register(values(rows, row -> row.oldestWaitMillis() / 1000.0), true);
  }

  private static void addComponents(
      List<MultiGauge.Row<?>> rows, String organisation, Resources values) {
    Tags tags = Tags.of(ORGANISATION, organisation);
    rows.add(MultiGauge.Row.of(tags.and("component", "cpu"), values.cpuMillis() / 1000.0));
    rows.add(MultiGauge.Row.of(tags.and("component", "memory"), values.memoryMib()));
    rows.add(MultiGauge.Row.of(tags.and("component", "accelerators"), values.accelerators()));
  }

  private static List<MultiGauge.Row<?>> values(
      List<OrganisationReport.Row> rows, ToDoubleFunction<OrganisationReport.Row> value) {
    List<MultiGauge.Row<?>> gauges = new ArrayList<>();
    for (OrganisationReport.Row row : rows) {
      gauges.add(MultiGauge.Row.of(Tags.of(ORGANISATION, row.name()), value.applyAsDouble(row)));
    }
    return gauges;
  }

  /** Counts an event of a run by its kind: a phase, the cause of an end or of a refusal. */
  void countRunEvent(Enum<?> kind) {
    count("runs", name(kind));
  }

  /** Counts a lease that has lapsed by what its end was computed from. */
  void leaseLapsed(LeaseBound.Basis basis) {
    count("leases.lapsed", name(basis));
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

  private MultiGauge gauges(String name) {
    return MultiGauge.builder(name).register(registry);
  }

  private void count(String name, String outcome) {
    registry.counter(name, "outcome", outcome).increment();
  }

  private static String name(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}

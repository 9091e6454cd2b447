package org.vanillacove.coordination.work;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.vanillacove.coordination.work.api.Adviser;
import org.vanillacove.coordination.work.api.CancelOutcome;
import org.vanillacove.coordination.work.api.SubmitOutcome;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.standin.memory.ManualTimerService;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.tenancy.Organisation;
import org.vanillacove.state.tenancy.OrganisationTable;
import org.vanillacove.state.work.JobSpec;
import org.vanillacove.state.work.QueuePolicy;
import org.vanillacove.state.work.StepSpec;

/** Runs a cell over fake workers and a fake store in virtual time; the leader can be replaced. */
final class CellFixture {
  static final String QUEUE = "plans";
  static final String ADDRESS = "planner.example/plans/";
  static final String SERVICE = "pool";
  static final long STATUS_MILLIS = 120_000;
  private static final long LEASE_MILLIS = 6_000;

  final ManualTimerService timer = new ManualTimerService(0);
  final FakeStore store = new FakeStore(timer);
  final FakeWorkers workers;
  final Map<String, SubmitOutcome> outcomes = new HashMap<>();
  private final Map<String, CancelOutcome> cancelOutcomes = new HashMap<>();
  final SimpleMeterRegistry registry = new SimpleMeterRegistry();
  private final CellMetrics metrics = new CellMetrics(registry);
  private final boolean advised;
  private final long maxLeaseMillis;
  private List<QueuePolicy> queues;

  /** Organisations of the configuration that each leader reads. */
  private OrganisationTable organisations = OrganisationTable.NONE;

  /** Number of times that a leader was told of a newer one. */
  private int fencedCalls;

  private long epoch;
  private WorkCell cell;

  CellFixture(long seed, boolean advised) {
    this(seed, advised, LEASE_MILLIS);
  }

  /** Creates a cell over workers that grant leases of up to {@code maxLeaseMillis}. */
  CellFixture(long seed, boolean advised, long maxLeaseMillis) {
    this.advised = advised;
    this.maxLeaseMillis = maxLeaseMillis;
    workers = new FakeWorkers(timer, seed, maxLeaseMillis);
    queues = List.of(queue(QUEUE, ADDRESS, SERVICE));
    for (int i = 0; i < 6; i++) {
      workers.add("w" + i, new Resources(8_000, 32_000, 0), "r" + i / 3);
    }
  }

  void startLeader() {
    openLeader();
    configure();
    load();
  }

  /** Starts a leader under a configuration that no former leader has read. */
  void startLeader(List<QueuePolicy> configured) {
    queues = configured;
    startLeader();
  }

  /** Starts a leader that has read the records before any configuration. */
  void startLeaderWithoutConfiguration() {
    openLeader();
    load();
  }

  private void openLeader() {
    if (cell != null) {
      cell.close();
    }
    epoch++;
    cell =
        new WorkCell(
            new WorkCell.Term(
                epoch,
                new LeaseTerms(LEASE_MILLIS, maxLeaseMillis),
                FakeWorkers.GANG_WAIT_MILLIS,
                STATUS_MILLIS,
                () -> fencedCalls++,
                metrics),
            timer,
            store.open(epoch),
            workers.client(epoch),
            new FakeAdviser(timer));
  }

  /** Puts the configuration that was set last in force. */
  void configure() {
    cell.configure(
        queues.stream().collect(Collectors.toMap(QueuePolicy::name, Function.identity())),
        organisations);
  }

  /** Replaces the configuration, for this and all later leaders. */
  void configure(List<QueuePolicy> configured) {
    queues = configured;
    configure();
  }

  /** Replaces the organisations, for this and all later leaders. */
  void configureOrganisations(OrganisationTable configured) {
    organisations = configured;
    workers.organisations(configured);
    configure();
  }

  /** Returns an organisation whose runs may use {@code cap}; components of 0 are no limit. */
  static Organisation organisation(String name, double weight, Resources cap) {
    return new Organisation(name, Set.of(), weight, cap);
  }

  /** Returns the name of a configured queue, or of one that is not if none is configured. */
  String anyQueue() {
    return queues.isEmpty() ? QUEUE : queues.getFirst().name();
  }

  /** Returns a queue with the attempts and the objective of all queues of this fixture. */
  QueuePolicy queue(String name, String address, String service) {
    Optional<QueuePolicy.AdvicePolicy> advice =
        advised ? Optional.of(new QueuePolicy.AdvicePolicy(50, 1, 1_500)) : Optional.empty();
    return new QueuePolicy(name, address, service, 1, 3, 4, 60_000, advice);
  }

  private void load() {
    cell.load(store.records());
    cell.updateDirectory(workers.directory());
  }

  int fencedCalls() {
    return fencedCalls;
  }

  WorkCell cell() {
    return cell;
  }

  void run(long millis) {
    for (long passed = 0; passed < millis; passed += 250) {
      cell.setCommandsAllowed(true);
      cell.updateDirectory(workers.directory());
      timer.advance(250);
    }
  }

  void submit(JobSpec spec) {
    workers.submitted(spec);
    cell.submit(spec, outcome -> outcomes.put(spec.id(), outcome));
  }

  /** Cancels a job on behalf of a caller without an organisation. */
  void cancel(String id) {
    cell.cancel(id, Optional.empty(), outcome -> cancelOutcomes.put(id, outcome));
  }

  /** Returns the outcome of the last answered cancellation of a job. */
  Optional<CancelOutcome> cancelled(String id) {
    return Optional.ofNullable(cancelOutcomes.get(id));
  }

  boolean isAccepted(String id) {
    return outcomes.get(id) instanceof SubmitOutcome.Accepted;
  }

  static JobSpec job(String id, StepSpec... steps) {
    return job(id, QUEUE, steps);
  }

  static JobSpec job(String id, String queue, StepSpec... steps) {
    return new JobSpec(id, queue, "payload of " + id, List.of(steps));
  }

  static StepSpec step(int count, long cpu, long millis, boolean gang, List<Integer> after) {
    return new StepSpec(
        count,
        new Resources(cpu, 1_000, 0),
        millis,
        after,
        false,
        gang,
        false,
        Optional.empty(),
        Optional.empty(),
        0);
  }

  /** Allows each step about four of six workers, chosen by hash. */
  private record FakeAdviser(TimerService timer) implements Adviser {
    @Override
    public List<String> hosts() {
      return List.of("h1", "h2", "h3", "h4");
    }

    @Override
    public void requestAdvice(
        String host,
        AdviceRequest question,
        Duration timeout,
        Consumer<Optional<Map<String, String>>> done) {
      Map<String, String> granted = new HashMap<>();
      for (String worker : question.workers()) {
        if (Math.floorMod((question.job() + question.step() + worker).hashCode(), 6) < 4) {
          granted.put(worker, "ticket");
        }
      }
      timer.after(Duration.ofMillis(60), () -> done.accept(Optional.of(granted)));
    }
  }
}

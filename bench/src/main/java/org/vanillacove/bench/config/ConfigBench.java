package org.vanillacove.bench.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.HdrHistogram.Histogram;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.vanillacove.bench.Bench;
import org.vanillacove.coordination.configuration.ConfigurationOutcome;
import org.vanillacove.standin.memory.ManualTimerService;
import org.vanillacove.standin.memory.MemoryLog;
import org.vanillacove.standin.memory.MemoryPeerNetwork;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.HostSpec;

/**
 * Measures how long configuration changes take to be in force on nine hosts, with concurrent
 * changes, one host that restarts repeatedly and one outage of the log. Time is simulated and the
 * peer links are in memory. Changes first submitted during the outage and those of the final burst
 * are retried until they are accepted, as operators would.
 */
public final class ConfigBench implements Bench {
  /** Number of entry hosts. */
  private static final int HOSTS = 9;

  /** Number of regions. */
  private static final int REGIONS = 3;

  /** One-way latency between regions, in milliseconds. */
  private static final long CROSS_REGION_LATENCY_MILLIS = 30;

  /** One-way latency within a region, in milliseconds. */
  private static final long SAME_REGION_LATENCY_MILLIS = 1;

  /** Number of changes submitted at regular intervals. */
  private static final int CHANGES = 1_400;

  /** Number of changes submitted at once at the end. */
  private static final int BURST_CHANGES = 100;

  /** Time between two regular changes, in milliseconds. */
  private static final long CHANGE_INTERVAL_MILLIS = 400;

  /** Interval, in changes, at which a second change is submitted concurrently. */
  private static final int RACE_EVERY = 10;

  /** Interval, in changes, at which the last host is restarted. */
  private static final int RESTART_EVERY = 50;

  /** Number of the change at which the log fails. */
  private static final int OUTAGE_AT = 700;

  /** Duration of the outage in milliseconds. */
  private static final long OUTAGE_MILLIS = 20_000;

  /** Delay before a refused change is retried, in milliseconds. */
  private static final long REFUSAL_RETRY_MILLIS = 1_000;

  /** Minimum delay before a change that conflicted is retried, in milliseconds. */
  private static final int MIN_CONFLICT_RETRY_MILLIS = 50;

  /** Range of the random time added to that delay, in milliseconds. */
  private static final int CONFLICT_RETRY_SPAN_MILLIS = 200;

  /** Time between two polls of the versions in force, in milliseconds. */
  private static final long STEP_MILLIS = 10;

  /** Deadline of a change to be stored in the log. */
  private static final Duration DEADLINE = Duration.ofSeconds(5);

  /** Maximum time for all changes to be in force at the end, in milliseconds. */
  private static final long MAX_SETTLE_MILLIS = 120_000;

  /** Number of nanoseconds in a millisecond. */
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Wall time at the start in milliseconds since the Unix epoch. */
  private static final long START_WALL_MILLIS = 1_780_000_000_000L;

  /** Logger of the code under test; a strong reference, so that its level is not lost. */
  private static final Logger COORDINATION_LOGGER =
      Logger.getLogger("org.vanillacove.coordination");

  /** Simulated clock of all hosts. */
  private final ManualTimerService timer = new ManualTimerService(START_WALL_MILLIS);

  /** Log that fails during the outage. */
  private final MemoryLog log = new MemoryLog();

  /** Log as used by the hosts, which counts appended bytes. */
  private final CountingLog countingLog = new CountingLog(log);

  /** Network between the hosts. */
  private final MemoryPeerNetwork network =
      new MemoryPeerNetwork(timer, ConfigBench::latencyMillis);

  /** Specifications of all hosts, running or not. */
  private final List<HostSpec> specs = new ArrayList<>();

  /** Running hosts by identifier. */
  private final Map<String, ConfigHost> hosts = new TreeMap<>();

  /** Accepted changes that are not yet in force on all ready hosts, by version. */
  private final TreeMap<Long, Attempt> pending = new TreeMap<>();

  /** Times from submission until in force on all ready hosts, without outage, in milliseconds. */
  private final Histogram inForceOutsideOutage = new Histogram(3);

  /**
   * Times until in force on all ready hosts of changes affected by the outage, in milliseconds,
   * from the submission of the accepted attempt or the end of the outage, whichever is later.
   */
  private final Histogram inForceAfterOutage = new Histogram(3);

  /** Times from the end of the outage until these changes were in force, in milliseconds. */
  private final Histogram caughtUp = new Histogram(3);

  /** Monotonic time of the start of the outage in milliseconds, the maximum before it. */
  private long outageFrom = Long.MAX_VALUE;

  /** Monotonic time of the end of the outage in milliseconds, the maximum before it. */
  private long outageUntil = Long.MAX_VALUE;

  /** Number of changes that are being retried until they are accepted. */
  private int openChanges;

  /** Number of changes first submitted during the outage. */
  private long outageChanges;

  /** Number of times that the version in force on a host was seen to decrease. */
  private long reverts;

  /** Number of accepted changes that a host did not know or that never came into force. */
  private long lostAccepted;

  /** Number of accepted changes. */
  private long accepted;

  /** Number of attempts that conflicted with another change. */
  private long conflicts;

  /** Number of attempts that were refused because of the outage. */
  private long refused;

  /** Number of attempts with an unknown outcome. */
  private long unknown;

  @Override
  public Map<String, Object> run(long seed) {
    COORDINATION_LOGGER.setLevel(Level.OFF);
    long begun = System.nanoTime();
    RandomGenerator random = new Well19937c(seed);
    for (int i = 0; i < HOSTS; i++) {
      String region = "region-" + i % REGIONS;
      specs.add(new HostSpec("h" + i, "127.0.0.1:1", new AvailabilityZone(region, region + "-a")));
    }
    specs.forEach(spec -> start(spec, 0));
    advance(10_000);
    long bytesBefore = countingLog.appendedBytes();
    for (int i = 1; i <= CHANGES; i++) {
      injectFaults(i);
      submit(firstAttempt(i, false), random);
      if (i % RACE_EVERY == 0) {
        submit(firstAttempt(-i, false), random);
      }
      advance(CHANGE_INTERVAL_MILLIS);
    }
    for (int i = 1; i <= BURST_CHANGES; i++) {
      submit(firstAttempt(CHANGES + i, true), random);
    }
    settle();
    Map<String, Object> figures = figures(countingLog.appendedBytes() - bytesBefore);
    figures.put("real_ms", (System.nanoTime() - begun) / NANOS_PER_MILLI);
    return figures;
  }

  private void injectFaults(int number) {
    if (number % RESTART_EVERY == 0) {
      HostSpec spec = specs.get(HOSTS - 1);
      ConfigHost running = hosts.remove(spec.id());
      running.close();
      network.remove(spec.id());
      timer.after(Duration.ofSeconds(3), () -> start(spec, running.highestVersion()));
    }
    if (number == OUTAGE_AT) {
      log.setFault(MemoryLog.Fault.REFUSING);
      outageFrom = timer.monotonicMillis();
      timer.after(Duration.ofMillis(OUTAGE_MILLIS), this::endOutage);
    }
    if (number % 100 == 0) {
      System.err.println("config: " + number + " changes, " + accepted + " accepted");
    }
  }

  private void endOutage() {
    log.setFault(MemoryLog.Fault.NONE);
    outageUntil = timer.monotonicMillis();
  }

  private void start(HostSpec spec, long highestBefore) {
    hosts.put(
        spec.id(),
        new ConfigHost(spec, specs, countingLog, network.link(spec.id()), timer, highestBefore));
  }

  private Attempt firstAttempt(int number, boolean again) {
    boolean met = outageUntil == Long.MAX_VALUE && outageFrom != Long.MAX_VALUE;
    openChanges += again || met ? 1 : 0;
    outageChanges += met ? 1 : 0;
    return new Attempt(number, timer.monotonicMillis(), again || met, met);
  }

  private void submit(Attempt attempt, RandomGenerator random) {
    List<ConfigHost> ready = hosts.values().stream().filter(ConfigHost::isReady).toList();
    ConfigHost host = ready.get(random.nextInt(ready.size()));
    String document =
        "{\"defaults\":{\"routing\":{\"queueLimit\":" + (10_000 + attempt.number) + "}}}";
    host.service()
        .put(host.version(), document, "bench", "change " + attempt.number, DEADLINE)
        .thenAccept(outcome -> handleOutcome(outcome, attempt, random));
  }

  private void handleOutcome(
      ConfigurationOutcome outcome, Attempt attempt, RandomGenerator random) {
    switch (outcome) {
      case ConfigurationOutcome.Accepted done -> {
        accepted++;
        openChanges -= attempt.retried ? 1 : 0;
        pending.put(done.version(), attempt);
      }
      case ConfigurationOutcome.Conflict lost -> {
        conflicts++;
        retryLater(
            attempt,
            MIN_CONFLICT_RETRY_MILLIS + random.nextInt(CONFLICT_RETRY_SPAN_MILLIS),
            random);
      }
      case ConfigurationOutcome.Refused no -> {
        refused++;
        retryLater(attempt, REFUSAL_RETRY_MILLIS, random);
      }
      case ConfigurationOutcome.Unknown maybe -> {
        unknown++;
        openChanges -= attempt.retried ? 1 : 0;
      }
    }
  }

  private void retryLater(Attempt attempt, long pauseMillis, RandomGenerator random) {
    if (attempt.retried) {
      timer.after(
          Duration.ofMillis(pauseMillis),
          () -> submit(attempt.retryAt(timer.monotonicMillis()), random));
    }
  }

  private void advance(long millis) {
    for (long done = 0; done < millis; done += STEP_MILLIS) {
      timer.advance(STEP_MILLIS);
      observe();
    }
  }

  private void observe() {
    long lowest = Long.MAX_VALUE;
    for (ConfigHost host : hosts.values()) {
      reverts += host.observeRevert() ? 1 : 0;
      lowest = host.isReady() ? Math.min(lowest, host.version()) : lowest;
    }
    while (!pending.isEmpty() && pending.firstKey() <= lowest) {
      Map.Entry<Long, Attempt> entry = pending.pollFirstEntry();
      record(entry.getValue());
      boolean known =
          hosts.values().stream()
              .filter(ConfigHost::isReady)
              .allMatch(host -> host.service().document(entry.getKey()).isPresent());
      lostAccepted += known ? 0 : 1;
    }
  }

  private void record(Attempt attempt) {
    long now = timer.monotonicMillis();
    if (attempt.metOutage || (attempt.submittedMillis < outageUntil && now >= outageUntil)) {
      inForceAfterOutage.recordValue(now - Math.max(attempt.submittedMillis, outageUntil));
      caughtUp.recordValue(now - outageUntil);
    } else {
      inForceOutsideOutage.recordValue(now - attempt.submittedMillis);
    }
  }

  private void settle() {
    long end = timer.monotonicMillis() + MAX_SETTLE_MILLIS;
    while ((openChanges > 0 || !pending.isEmpty()) && timer.monotonicMillis() < end) {
      advance(STEP_MILLIS);
    }
    lostAccepted += pending.size();
  }

  private Map<String, Object> figures(long bytes) {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("in_force_p50_ms", inForceOutsideOutage.getValueAtPercentile(50));
    figures.put("in_force_max_ms", inForceOutsideOutage.getMaxValue());
    figures.put("in_force_after_outage_max_ms", inForceAfterOutage.getMaxValue());
    figures.put("outage_changes", outageChanges);
    figures.put("outage_changes_in_force", inForceAfterOutage.getTotalCount());
    figures.put("outage_caught_up_ms", caughtUp.getMaxValue());
    figures.put("reverts", reverts);
    figures.put("lost_accepted", lostAccepted);
    figures.put("bytes_per_change", bytes / Math.max(1, accepted));
    figures.put("accepted", accepted);
    figures.put("conflicts", conflicts);
    figures.put("refused", refused);
    figures.put("unknown", unknown);
    figures.put("links", "memory, virtual time");
    return figures;
  }

  private static long latencyMillis(String from, String to) {
    return region(from) == region(to) ? SAME_REGION_LATENCY_MILLIS : CROSS_REGION_LATENCY_MILLIS;
  }

  private static int region(String hostId) {
    return Integer.parseInt(hostId.substring(1)) % REGIONS;
  }

  /**
   * Attempt to change the configuration.
   *
   * @param number number of the change
   * @param submittedMillis monotonic time of the attempt in milliseconds
   * @param retried whether the change is retried until it is accepted
   * @param metOutage whether the change was first submitted during the outage
   */
  private record Attempt(int number, long submittedMillis, boolean retried, boolean metOutage) {
    /** Returns the next attempt at the same change. */
    Attempt retryAt(long millis) {
      return new Attempt(number, millis, retried, metOutage);
    }
  }
}

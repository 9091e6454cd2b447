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
 * Changes the configuration on nine hosts while they race, one of them restarts again and again and
 * the log fails once; time is virtual, the peer links are in memory. A change that the outage
 * refuses, or that met it and lost a race, is made again until it is accepted, as operators would.
 */
public final class ConfigBench implements Bench {
  /** Entry hosts. */
  private static final int HOSTS = 9;

  /** Regions. */
  private static final int REGIONS = 3;

  /** One-way delay between regions in milliseconds. */
  private static final long REGION_DELAY_MILLIS = 30;

  /** One-way delay within a region in milliseconds. */
  private static final long ZONE_DELAY_MILLIS = 1;

  /** Changes spread over the run. */
  private static final int CHANGES = 1_400;

  /** Changes at once at the end. */
  private static final int BURST = 100;

  /** Pause between two spread changes in milliseconds. */
  private static final long PAUSE_MILLIS = 400;

  /** Every change of this number races with another one. */
  private static final int RACE_EVERY = 10;

  /** Every change of this number kills or starts the restarting host. */
  private static final int RESTART_EVERY = 50;

  /** Number of the change at which the log fails. */
  private static final int OUTAGE_AT = 700;

  /** Length of the outage in milliseconds. */
  private static final long OUTAGE_MILLIS = 20_000;

  /** Pause before a change that the outage refused is made again, in milliseconds. */
  private static final long AGAIN_MILLIS = 1_000;

  /** Shortest pause before a change that lost a race is made again, in milliseconds. */
  private static final int RACE_PAUSE_MILLIS = 50;

  /** Span of that pause in milliseconds. */
  private static final int RACE_SPAN_MILLIS = 200;

  /** Step in which versions are looked at, in milliseconds. */
  private static final long STEP_MILLIS = 10;

  /** Longest wait of a change for the log. */
  private static final Duration DEADLINE = Duration.ofSeconds(5);

  /** Longest wait for all changes at the end, in milliseconds. */
  private static final long SETTLE_MILLIS = 120_000;

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Wall time at the start in milliseconds since the Unix epoch. */
  private static final long START_MILLIS = 1_780_000_000_000L;

  /** Logger of the parts under test, kept so that its level stays. */
  private static final Logger PARTS = Logger.getLogger("org.vanillacove.coordination");

  /** Time. */
  private final ManualTimerService timer = new ManualTimerService(START_MILLIS);

  /** The log. */
  private final MemoryLog log = new MemoryLog();

  /** The log as hosts see it. */
  private final CountingLog counted = new CountingLog(log);

  /** Peer links. */
  private final MemoryPeerNetwork network = new MemoryPeerNetwork(timer, ConfigBench::delayMillis);

  /** Hosts of the cell. */
  private final List<HostSpec> specs = new ArrayList<>();

  /** Running hosts by identifier. */
  private final Map<String, ConfigHost> hosts = new TreeMap<>();

  /** Accepted changes that are not in force everywhere yet, by version. */
  private final TreeMap<Long, Attempt> pending = new TreeMap<>();

  /** Times from submission until in force everywhere outside the outage, in milliseconds. */
  private final Histogram outside = new Histogram(3);

  /** Such times of the attempts that succeeded for changes that met the outage. */
  private final Histogram after = new Histogram(3);

  /** Times from the end of the outage until such changes were in force everywhere. */
  private final Histogram caughtUp = new Histogram(3);

  /** Monotonic time at which the outage began, in milliseconds. */
  private long outageFrom = Long.MAX_VALUE;

  /** Monotonic time at which the outage ended, in milliseconds. */
  private long outageUntil = Long.MAX_VALUE;

  /** Changes that are made again until they are accepted and are not yet. */
  private int open;

  /** Changes first made in the outage. */
  private long outageChanges;

  /** Number of versions that fell. */
  private long reverts;

  /** Accepted changes that a host did not know when their version was in force. */
  private long lostAccepted;

  /** Accepted changes. */
  private long accepted;

  /** Changes that lost a race. */
  private long conflicts;

  /** Changes that were refused in the outage. */
  private long refused;

  /** Changes whose outcome was not known. */
  private long unknown;

  @Override
  public Map<String, Object> run(long seed) {
    PARTS.setLevel(Level.OFF);
    long begun = System.nanoTime();
    RandomGenerator random = new Well19937c(seed);
    for (int i = 0; i < HOSTS; i++) {
      String region = "region-" + i % REGIONS;
      specs.add(new HostSpec("h" + i, "127.0.0.1:1", new AvailabilityZone(region, region + "-a")));
    }
    specs.forEach(spec -> start(spec, 0));
    advance(10_000);
    long bytesBefore = counted.bytes();
    for (int i = 1; i <= CHANGES; i++) {
      disturb(i);
      change(first(i, false), random);
      if (i % RACE_EVERY == 0) {
        change(first(-i, false), random);
      }
      advance(PAUSE_MILLIS);
    }
    for (int i = 1; i <= BURST; i++) {
      change(first(CHANGES + i, true), random);
    }
    settle();
    Map<String, Object> figures = figures(counted.bytes() - bytesBefore);
    figures.put("real_ms", (System.nanoTime() - begun) / NANOS_PER_MILLI);
    return figures;
  }

  private void disturb(int number) {
    if (number % RESTART_EVERY == 0) {
      HostSpec spec = specs.get(HOSTS - 1);
      ConfigHost running = hosts.remove(spec.id());
      running.close();
      network.remove(spec.id());
      timer.after(Duration.ofSeconds(3), () -> start(spec, running.highest()));
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
        new ConfigHost(spec, specs, counted, network.link(spec.id()), timer, highestBefore));
  }

  private Attempt first(int number, boolean again) {
    boolean met = outageUntil == Long.MAX_VALUE && outageFrom != Long.MAX_VALUE;
    open += again || met ? 1 : 0;
    outageChanges += met ? 1 : 0;
    return new Attempt(number, timer.monotonicMillis(), again || met, met);
  }

  private void change(Attempt attempt, RandomGenerator random) {
    List<ConfigHost> ready = hosts.values().stream().filter(ConfigHost::isReady).toList();
    ConfigHost host = ready.get(random.nextInt(ready.size()));
    String document =
        "{\"defaults\":{\"routing\":{\"queueLimit\":" + (10_000 + attempt.number) + "}}}";
    host.service()
        .put(host.version(), document, "bench", "change " + attempt.number, DEADLINE)
        .thenAccept(outcome -> count(outcome, attempt, random));
  }

  private void count(ConfigurationOutcome outcome, Attempt attempt, RandomGenerator random) {
    switch (outcome) {
      case ConfigurationOutcome.Accepted done -> {
        accepted++;
        open -= attempt.again ? 1 : 0;
        pending.put(done.version(), attempt);
      }
      case ConfigurationOutcome.Conflict lost -> {
        conflicts++;
        again(attempt, RACE_PAUSE_MILLIS + random.nextInt(RACE_SPAN_MILLIS), random);
      }
      case ConfigurationOutcome.Refused no -> {
        refused++;
        again(attempt, AGAIN_MILLIS, random);
      }
      case ConfigurationOutcome.Unknown maybe -> {
        unknown++;
        open -= attempt.again ? 1 : 0;
      }
    }
  }

  private void again(Attempt attempt, long pauseMillis, RandomGenerator random) {
    if (attempt.again) {
      timer.after(
          Duration.ofMillis(pauseMillis),
          () -> change(attempt.madeAgainAt(timer.monotonicMillis()), random));
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
    if (attempt.metOutage || (attempt.submitted < outageUntil && now >= outageUntil)) {
      after.recordValue(now - Math.max(attempt.submitted, outageUntil));
      caughtUp.recordValue(now - outageUntil);
    } else {
      outside.recordValue(now - attempt.submitted);
    }
  }

  private void settle() {
    long end = timer.monotonicMillis() + SETTLE_MILLIS;
    while ((open > 0 || !pending.isEmpty()) && timer.monotonicMillis() < end) {
      advance(STEP_MILLIS);
    }
    lostAccepted += pending.size();
  }

  private Map<String, Object> figures(long bytes) {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("in_force_p50_ms", outside.getValueAtPercentile(50));
    figures.put("in_force_max_ms", outside.getMaxValue());
    figures.put("in_force_after_outage_max_ms", after.getMaxValue());
    figures.put("outage_changes", outageChanges);
    figures.put("outage_changes_in_force", after.getTotalCount());
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

  private static long delayMillis(String from, String to) {
    return region(from) == region(to) ? ZONE_DELAY_MILLIS : REGION_DELAY_MILLIS;
  }

  private static int region(String hostId) {
    return Integer.parseInt(hostId.substring(1)) % REGIONS;
  }

  /**
   * An attempt to make a change.
   *
   * @param number number of the change
   * @param submitted monotonic time of the attempt in milliseconds
   * @param again whether it is made again until it is accepted
   * @param metOutage whether the change was first made in the outage
   */
  private record Attempt(int number, long submitted, boolean again, boolean metOutage) {
    /** Returns the next attempt. */
    Attempt madeAgainAt(long millis) {
      return new Attempt(number, millis, again, metOutage);
    }
  }
}

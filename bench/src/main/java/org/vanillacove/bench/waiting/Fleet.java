package org.vanillacove.bench.waiting;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.standin.memory.ManualTimerService;
import org.vanillacove.state.api.AvailabilityZone;

/**
 * Simulated backend servers in three regions. One of each region is faulty: two are slow, and one
 * fails every request.
 */
final class Fleet {
  /** Number of regions. */
  static final int REGIONS = 3;

  /** Number of backend servers. */
  static final int BACKENDS = 30;

  /** Number of slots of a backend server. */
  static final int SLOTS = 8;

  /** One-way latency between regions, in milliseconds. */
  static final long CROSS_REGION_MILLIS = 30;

  /** Factor by which the service time of a slow backend server is longer. */
  private static final long SLOW_FACTOR = 5;

  /** Time that the failing backend server takes to fail a request, in milliseconds. */
  private static final long FAIL_MILLIS = 5;

  /** Index of the first slow backend server. */
  private static final int FIRST_SLOW_BACKEND = 4;

  /** Index of the second slow backend server. */
  private static final int SECOND_SLOW_BACKEND = 12;

  /** Index of the backend server that fails every request. */
  private static final int FAILING_BACKEND = 23;

  /** Clock of the simulation. */
  private final ManualTimerService timer;

  /** Backend servers, by index. */
  private final List<Server> servers = new ArrayList<>();

  Fleet(ManualTimerService timer) {
    this.timer = timer;
    for (int i = 0; i < BACKENDS; i++) {
      servers.add(new Server(i));
    }
  }

  /** Returns the number of slots of normal speed that the fleet is equivalent to. */
  static double effectiveSlots() {
    return SLOTS * (BACKENDS - 3 + 2.0 / SLOW_FACTOR);
  }

  static AvailabilityZone zoneOf(int index) {
    int region = index % REGIONS;
    return new AvailabilityZone("r" + region, "r" + region + "-z" + index / REGIONS % 3);
  }

  static boolean isSlow(int index) {
    return index == FIRST_SLOW_BACKEND || index == SECOND_SLOW_BACKEND;
  }

  static boolean isFailing(int index) {
    return index == FAILING_BACKEND;
  }

  Server server(int index) {
    return servers.get(index);
  }

  List<ListedHost> listed() {
    return servers.stream().map(server -> server.listed).toList();
  }

  int overflows() {
    return servers.stream().mapToInt(server -> server.overflows).sum();
  }

  /** Receives the outcome of a request. */
  @FunctionalInterface
  interface CompletionListener {
    /** Handles the completion of a request, with its success and its service time. */
    void completed(boolean success, long servedMillis);
  }

  /** Backend server that runs requests in its slots and queues those that find no free slot. */
  final class Server {
    /** Index in the fleet, which determines the region and the fault. */
    private final int index;

    /** Entry of this server in the host list of the platform. */
    private final ListedHost listed;

    /** Requests that wait for a free slot, in order of arrival. */
    private final ArrayDeque<Runnable> queue = new ArrayDeque<>();

    /** Number of slots in use. */
    private int running;

    /** Number of requests that found no free slot. */
    private int overflows;

    private Server(int index) {
      this.index = index;
      this.listed =
          new ListedHost(
              "b" + index, ListedHost.Role.BACKEND, "127.0.0.1:" + index, zoneOf(index), false);
    }

    int running() {
      return running;
    }

    int load() {
      return running + queue.size();
    }

    void submit(Arrival arrival, CompletionListener ending) {
      if (running < SLOTS) {
        run(arrival, ending);
      } else {
        overflows++;
        queue.add(() -> run(arrival, ending));
      }
    }

    private void run(Arrival arrival, CompletionListener ending) {
      running++;
      long millis = isFailing(index) ? FAIL_MILLIS : arrival.serviceMillis() * serviceTimeFactor();
      timer.after(
          Duration.ofMillis(millis),
          () -> {
            running--;
            Runnable next = queue.poll();
            if (next != null) {
              next.run();
            }
            ending.completed(!isFailing(index), millis);
          });
    }

    private long serviceTimeFactor() {
      return isSlow(index) ? SLOW_FACTOR : 1;
    }
  }
}

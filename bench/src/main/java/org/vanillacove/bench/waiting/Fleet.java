package org.vanillacove.bench.waiting;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.standin.memory.ManualTimerService;
import org.vanillacove.state.api.AvailabilityZone;

/**
 * Backend servers in three regions, one of each region at fault: two slow, one that fails
 * everything.
 */
final class Fleet {
  /** Number of regions. */
  static final int REGIONS = 3;

  /** Number of backend servers. */
  static final int BACKENDS = 30;

  /** Slots of a backend server. */
  static final int SLOTS = 8;

  /** One-way delay between regions in milliseconds. */
  static final long REGION_MILLIS = 30;

  /** Service time of a slow backend server relative to a usual one. */
  private static final long SLOW_FACTOR = 5;

  /** Time in which the failing backend server answers, in milliseconds. */
  private static final long FAIL_MILLIS = 5;

  /** First slow backend server. */
  private static final int SLOW_ONE = 4;

  /** Second slow backend server. */
  private static final int SLOW_TWO = 12;

  /** Backend server that fails everything. */
  private static final int FAILING = 23;

  /** Source of time. */
  private final ManualTimerService timer;

  /** Backend servers. */
  private final List<Server> servers = new ArrayList<>();

  Fleet(ManualTimerService timer) {
    this.timer = timer;
    for (int i = 0; i < BACKENDS; i++) {
      servers.add(new Server(i));
    }
  }

  /** Returns the slots of usual speed that the fleet amounts to. */
  static double effectiveSlots() {
    return SLOTS * (BACKENDS - 3 + 2.0 / SLOW_FACTOR);
  }

  static AvailabilityZone zoneOf(int index) {
    int region = index % REGIONS;
    return new AvailabilityZone("r" + region, "r" + region + "-z" + index / REGIONS % 3);
  }

  static boolean isSlow(int index) {
    return index == SLOW_ONE || index == SLOW_TWO;
  }

  static boolean isFailing(int index) {
    return index == FAILING;
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

  /** Receives the end of a request. */
  @FunctionalInterface
  interface Ending {
    /** Handles the end: whether it succeeded and how long it was served. */
    void ended(boolean success, long servedMillis);
  }

  /** A backend server that runs requests in slots and queues what finds none. */
  final class Server {
    /** Position. */
    private final int index;

    /** Entry of the platform's list. */
    private final ListedHost listed;

    /** Requests without a slot. */
    private final ArrayDeque<Runnable> queue = new ArrayDeque<>();

    /** Slots in use. */
    private int running;

    /** Requests that found no free slot. */
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

    void submit(Arrival arrival, Ending ending) {
      if (running < SLOTS) {
        run(arrival, ending);
      } else {
        overflows++;
        queue.add(() -> run(arrival, ending));
      }
    }

    private void run(Arrival arrival, Ending ending) {
      running++;
      long millis = isFailing(index) ? FAIL_MILLIS : arrival.serviceMillis() * factor();
      timer.after(
          Duration.ofMillis(millis),
          () -> {
            running--;
            Runnable next = queue.poll();
            if (next != null) {
              next.run();
            }
            ending.ended(!isFailing(index), millis);
          });
    }

    private long factor() {
      return isSlow(index) ? SLOW_FACTOR : 1;
    }
  }
}

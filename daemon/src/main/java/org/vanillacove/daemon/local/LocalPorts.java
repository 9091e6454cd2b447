package org.vanillacove.daemon.local;

/**
 * Assigns the ports of a local cell, all on the loopback address.
 *
 * @param base first port
 */
record LocalPorts(int base) {
  /** Number of ports reserved for each kind of port. */
  private static final int RANGE_SIZE = 100;

  /** Maximum offset of a port from the base. */
  private static final int MAX_OFFSET = 4 * RANGE_SIZE;

  /** Maximum port number. */
  private static final int MAX_PORT = 65_535;

  /** Checks that all ports are valid port numbers. */
  LocalPorts {
    if (base < 1 || base + MAX_OFFSET > MAX_PORT) {
      throw new IllegalArgumentException(
          "--port-base: must be from 1 to " + (MAX_PORT - MAX_OFFSET) + ", not " + base);
    }
  }

  /** Returns the address of the operators' port of a host. */
  String operator(int host) {
    return address(host);
  }

  /** Returns the address of the guests' port of a host. */
  String guest(int host) {
    return address(RANGE_SIZE + host);
  }

  /** Returns the address of the peer link of a host. */
  String peer(int host) {
    return address(2 * RANGE_SIZE + host);
  }

  /** Returns the port of the platform's log and lists. */
  int platform() {
    return base + 3 * RANGE_SIZE;
  }

  /** Returns the port of a worker. */
  int worker(int worker) {
    return platform() + 1 + worker;
  }

  private String address(int offset) {
    return "127.0.0.1:" + (base + offset);
  }
}

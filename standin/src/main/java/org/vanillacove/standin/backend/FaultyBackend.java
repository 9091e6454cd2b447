package org.vanillacove.standin.backend;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.state.api.AvailabilityZone;

/**
 * A simulated backend server on plain sockets whose connections fail at a chosen point. A request
 * counts as run, by its identifier, once it was read completely.
 */
public final class FaultyBackend implements AutoCloseable {
  /** Path that returns the number of running requests; faults do not apply to it. */
  private static final String RUNNING_COUNT_PATH = "/vanillacove/running";

  /** Identifier in the platform's host list. */
  private final String id;

  /** Availability zone in the platform's host list. */
  private final AvailabilityZone zone;

  /** Listening socket on a free port of the loopback address. */
  private final ServerSocket listener;

  /** Number of runs by request identifier. */
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();

  /** Released when the server is closed; ends the waits of {@code SILENT} and {@code LATE}. */
  private final CountDownLatch closed = new CountDownLatch(1);

  /** Fault that requests meet; set by tests. */
  private volatile Fault fault;

  /** Starts a server on a free port of 127.0.0.1. */
  public FaultyBackend(String id, AvailabilityZone zone, Fault fault) throws IOException {
    this.id = id;
    this.zone = zone;
    this.fault = fault;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  /** Faults that a request can meet. */
  public enum Fault {
    /** Requests are run and responded to. */
    NONE,
    /** The connection is reset before anything is read. */
    RESET_BEFORE,
    /** The connection is reset while the request is read. */
    RESET_DURING,
    /** The connection is reset after the request was run. */
    RESET_AFTER,
    /** The connection is closed after half of the announced response. */
    TRUNCATED,
    /** The request is run and never responded to. */
    SILENT,
    /** The response is sent after two seconds. */
    LATE,
    /** The response is sent twice. */
    DOUBLED
  }

  /** Sets the fault that requests meet from now on. */
  public void setFault(Fault next) {
    fault = next;
  }

  /** Returns the server's entry in the platform's host list. */
  public ListedHost listed() {
    String address = "127.0.0.1:" + listener.getLocalPort();
    return new ListedHost(id, ListedHost.Role.BACKEND, address, zone, false);
  }

  /** Returns the number of runs by request identifier. */
  public Map<String, Integer> runs() {
    return Map.copyOf(runs);
  }

  @Override
  public void close() throws IOException {
    closed.countDown();
    listener.close();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      boolean open = true;
      while (open) {
        open = serveOne(socket, in, out);
      }
    } catch (IOException | InterruptedException e) {
      // The client closed the connection, or a fault did.
    }
  }

  private boolean serveOne(Socket socket, InputStream in, OutputStream out)
      throws IOException, InterruptedException {
    String first = readLine(in);
    if (first.isEmpty()) {
      return false;
    }
    boolean probe = first.contains(RUNNING_COUNT_PATH) || first.startsWith("OPTIONS");
    Fault now = probe ? Fault.NONE : fault;
    if (now == Fault.RESET_BEFORE) {
      reset(socket);
      return false;
    }
    String requestId = "";
    int length = 0;
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      String[] parts = line.split(":", 2);
      String name = parts[0].toLowerCase(Locale.ROOT);
      requestId = name.equals(BackendServer.REQUEST_ID) ? parts[1].strip() : requestId;
      length = name.equals("content-length") ? Integer.parseInt(parts[1].strip()) : length;
    }
    if (now == Fault.RESET_DURING) {
      reset(socket);
      return false;
    }
    in.readNBytes(length);
    if (!probe) {
      runs.merge(requestId, 1, Integer::sum);
    }
    return respond(socket, out, now, probe ? "0" : "answer to " + requestId);
  }

  private boolean respond(Socket socket, OutputStream out, Fault now, String text)
      throws IOException, InterruptedException {
    String head = "HTTP/1.1 200 OK\r\ncontent-length: " + text.length() + "\r\n\r\n";
    switch (now) {
      case RESET_AFTER -> {
        reset(socket);
        return false;
      }
      case TRUNCATED -> {
        write(out, head + text.substring(0, text.length() / 2));
        return false;
      }
      case SILENT -> {
        closed.await();
        return false;
      }
      case LATE -> {
        closed.await(2, TimeUnit.SECONDS);
        write(out, head + text);
      }
      case DOUBLED -> write(out, head + text + head + text);
      default -> write(out, head + text);
    }
    return true;
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  /** Closes a connection with a TCP reset; a linger time of zero causes it. */
  private static void reset(Socket socket) throws IOException {
    socket.setOption(StandardSocketOptions.SO_LINGER, 0);
    socket.close();
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }
}

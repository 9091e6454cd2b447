package org.vanillacove.bench.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** Relays one connection to a local port and counts the bytes in both directions. */
final class ByteCountingRelay implements AutoCloseable {
  /** Size of a copy buffer in bytes. */
  private static final int BUFFER_BYTES = 64 << 10;

  /** Socket that accepts the connection. */
  private final ServerSocket listener;

  /** Local port that the connection is relayed to. */
  private final int targetPort;

  /** Number of bytes relayed so far in both directions. */
  private final AtomicLong bytes = new AtomicLong();

  ByteCountingRelay(int targetPort) throws IOException {
    this.targetPort = targetPort;
    listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  /** Returns the local port on which the relay listens. */
  int port() {
    return listener.getLocalPort();
  }

  /** Returns the number of bytes relayed so far in both directions. */
  long bytes() {
    return bytes.get();
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }

  private void accept() {
    try (Socket source = listener.accept();
        Socket target = new Socket(InetAddress.getLoopbackAddress(), targetPort)) {
      Thread back = Thread.ofVirtual().start(() -> copy(target, source));
      copy(source, target);
      target.shutdownOutput();
      back.join();
    } catch (IOException e) {
      System.err.println("relay: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      int count = in.read(buffer);
      while (count >= 0) {
        bytes.addAndGet(count);
        out.write(buffer, 0, count);
        count = in.read(buffer);
      }
    } catch (IOException e) {
      // One end was closed, which ends the relay.
    }
  }
}

package org.vanillacove.daemon.system;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.vanillacove.protocol.generated.PeerFrame;

/**
 * TCP relays between entry hosts, and from entry hosts to the platform, whose links can be cut.
 *
 * <p>A cut closes no connection: existing ones stay open and carry nothing, even after the link is
 * restored; new ones are accepted and carry nothing while the link is cut.
 */
final class HostRelays implements AutoCloseable {
  /** Name that stands for the platform as one end of a link. */
  static final String PLATFORM = "platform";

  private static final int BUFFER_BYTES = 16 << 10;

  private final Set<Set<String>> cuts = ConcurrentHashMap.newKeySet();
  private final List<AutoCloseable> opened = new ArrayList<>();

  /** Opens a relay to an entry host's peer port; the hello frame identifies the caller. */
  String openPeerRelay(String hostId, InetSocketAddress peer) throws IOException {
    return open(socket -> relayPeer(socket, hostId, peer));
  }

  /** Opens a relay from an entry host to the platform. */
  String openPlatformRelay(String hostId, InetSocketAddress platform) throws IOException {
    return open(socket -> relay(socket, Set.of(hostId, PLATFORM), new byte[0], platform));
  }

  /** Cuts the link between two ends. */
  void cut(String one, String other) {
    cuts.add(Set.of(one, other));
  }

  /** Restores all links for new connections. */
  void restore() {
    cuts.clear();
  }

  @Override
  public synchronized void close() {
    for (AutoCloseable resource : opened) {
      closeQuietly(resource);
    }
  }

  private String open(Connection connection) throws IOException {
    ServerSocket listener = track(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
    Thread.startVirtualThread(() -> accept(listener, connection));
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private void accept(ServerSocket listener, Connection connection) {
    try {
      while (!listener.isClosed()) {
        Socket socket = track(listener.accept());
        Thread.startVirtualThread(() -> serve(socket, connection));
      }
    } catch (IOException e) {
      // The listener was closed.
      closeQuietly(listener);
    }
  }

  private void serve(Socket socket, Connection connection) {
    try (socket) {
      socket.setTcpNoDelay(true);
      connection.serve(socket);
    } catch (IOException e) {
      // One end closed the connection; closes the other end as well.
      closeQuietly(socket);
    }
  }

  private void relayPeer(Socket socket, String hostId, InetSocketAddress peer) throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    byte[] hello = in.readNBytes(in.readInt());
    String from = PeerFrame.parseFrom(hello).getHello().getHostId();
    ByteArrayOutputStream first = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(first);
    out.writeInt(hello.length);
    out.write(hello);
    relay(socket, Set.of(from, hostId), first.toByteArray(), peer);
  }

  private void relay(Socket socket, Set<String> ends, byte[] first, InetSocketAddress target)
      throws IOException {
    if (cuts.contains(ends)) {
      socket.getInputStream().transferTo(OutputStream.nullOutputStream());
      return;
    }
    try (Socket onward = track(new Socket(target.getAddress(), target.getPort()))) {
      onward.setTcpNoDelay(true);
      onward.getOutputStream().write(first);
      Thread.startVirtualThread(() -> copyBack(onward, socket, ends));
      copyUntilCut(socket.getInputStream(), onward.getOutputStream(), ends);
    }
  }

  private void copyBack(Socket onward, Socket socket, Set<String> ends) {
    try (socket) {
      copyUntilCut(onward.getInputStream(), socket.getOutputStream(), ends);
    } catch (IOException e) {
      closeQuietly(onward);
    }
  }

  /** Copies until the end of the stream; once the link is cut, the rest is discarded. */
  private void copyUntilCut(InputStream in, OutputStream out, Set<String> ends) throws IOException {
    byte[] buffer = new byte[BUFFER_BYTES];
    int length = in.read(buffer);
    while (length >= 0 && !cuts.contains(ends)) {
      out.write(buffer, 0, length);
      length = in.read(buffer);
    }
    in.transferTo(OutputStream.nullOutputStream());
  }

  private synchronized <T extends AutoCloseable> T track(T resource) {
    opened.add(resource);
    return resource;
  }

  private static void closeQuietly(AutoCloseable resource) {
    try {
      resource.close();
    } catch (Exception e) {
      throw new IllegalStateException("cannot close a relay socket", e);
    }
  }

  /** Serves an accepted connection until it ends. */
  private interface Connection {
    void serve(Socket socket) throws IOException;
  }
}

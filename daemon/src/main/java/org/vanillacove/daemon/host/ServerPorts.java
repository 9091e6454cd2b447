package org.vanillacove.daemon.host;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import com.linecorp.armeria.common.SessionProtocol;
import com.linecorp.armeria.server.ServerBuilder;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.vanillacove.transport.operator.TlsOnly;
import org.vanillacove.transport.security.ReloadingTlsKeys;

/** Adds plain-text and TLS ports to HTTP servers. */
final class ServerPorts {
  private ServerPorts() {}

  /** Adds a port as {@link #add} does; with TLS, plain-text requests are rejected by a response. */
  static void addWithRefusal(
      ServerBuilder builder, String field, String address, Optional<ReloadingTlsKeys> keys)
      throws HostStartException {
    if (keys.isEmpty()) {
      add(builder, field, address, keys, false);
      return;
    }
    InetSocketAddress socket = parse(field, address);
    builder.port(socket, SessionProtocol.HTTP, SessionProtocol.HTTPS);
    keys.get().install(builder, false);
    TlsOnly.addTo(builder);
  }

  /** Adds a port that uses TLS if keys are given and plain text otherwise. */
  static void add(
      ServerBuilder builder,
      String field,
      String address,
      Optional<ReloadingTlsKeys> keys,
      boolean mutual)
      throws HostStartException {
    InetSocketAddress socket = parse(field, address);
    if (keys.isPresent()) {
      builder.https(socket);
      keys.get().install(builder, mutual);
    } else {
      builder.http(socket);
    }
  }

  private static InetSocketAddress parse(String field, String address) throws HostStartException {
    try {
      HostAndPort parsed = HostAndPort.fromString(address);
      return new InetSocketAddress(InetAddresses.forString(parsed.getHost()), parsed.getPort());
    } catch (IllegalArgumentException | IllegalStateException e) {
      throw new HostStartException(field, "must be IP:PORT", e);
    }
  }
}

package org.vanillacove.daemon.host;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import com.linecorp.armeria.server.ServerBuilder;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.vanillacove.transport.security.ReloadingTlsKeys;

/** Adds ports to HTTP servers. */
final class ServerPorts {
  private ServerPorts() {}

  /** Adds a port in plain text, or with TLS where keys are given. */
  static void add(
      ServerBuilder builder,
      String field,
      String address,
      Optional<ReloadingTlsKeys> keys,
      boolean mutual)
      throws HostStartException {
    try {
      HostAndPort parsed = HostAndPort.fromString(address);
      InetSocketAddress socket =
          new InetSocketAddress(InetAddresses.forString(parsed.getHost()), parsed.getPort());
      if (keys.isPresent()) {
        builder.https(socket);
        keys.get().install(builder, mutual);
      } else {
        builder.http(socket);
      }
    } catch (IllegalArgumentException | IllegalStateException e) {
      throw new HostStartException(field, "must be IP:PORT", e);
    }
  }
}

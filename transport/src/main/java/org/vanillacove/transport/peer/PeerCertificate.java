package org.vanillacove.transport.peer;

import io.netty.channel.Channel;
import io.netty.handler.ssl.SslHandler;
import java.security.cert.Certificate;
import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import javax.net.ssl.SSLPeerUnverifiedException;

/** Binds the host that a peer says it is to the certificate that it has shown. */
final class PeerCertificate {
  /** Type of DNS names among the alternative names of a certificate. */
  private static final int DNS_NAME = 2;

  private PeerCertificate() {}

  /** Returns why the other end may not speak as {@code hostId}; empty without TLS. */
  static Optional<String> fault(Channel channel, String hostId) {
    SslHandler tls = channel.pipeline().get(SslHandler.class);
    if (tls == null) {
      return Optional.empty();
    }
    try {
      Certificate[] chain = tls.engine().getSession().getPeerCertificates();
      return names((X509Certificate) chain[0], hostId)
          ? Optional.empty()
          : Optional.of("the certificate does not name host " + hostId);
    } catch (SSLPeerUnverifiedException | CertificateParsingException e) {
      return Optional.of("the certificate cannot be used: " + e.getMessage());
    }
  }

  private static boolean names(X509Certificate certificate, String hostId)
      throws CertificateParsingException {
    Collection<List<?>> names = certificate.getSubjectAlternativeNames();
    return names != null
        && names.stream()
            .anyMatch(name -> name.get(0).equals(DNS_NAME) && hostId.equals(name.get(1)));
  }
}

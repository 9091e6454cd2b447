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

/** Checks that a peer's TLS certificate was issued for the host ID that the peer claims. */
final class PeerCertificate {
  /** Type of a DNS name in the subject alternative names of a certificate (RFC 5280). */
  private static final int DNS_NAME = 2;

  private PeerCertificate() {}

  /**
   * Returns why the peer's certificate is not valid for {@code hostId}; empty if it is valid or the
   * connection doesn't use TLS.
   */
  static Optional<String> rejectionReason(Channel channel, String hostId) {
    SslHandler tls = channel.pipeline().get(SslHandler.class);
    if (tls == null) {
      return Optional.empty();
    }
    try {
      Certificate[] chain = tls.engine().getSession().getPeerCertificates();
      return identifiesHost((X509Certificate) chain[0], hostId)
          ? Optional.empty()
          : Optional.of("the certificate does not name host " + hostId);
    } catch (SSLPeerUnverifiedException | CertificateParsingException e) {
      return Optional.of("the certificate cannot be used: " + e.getMessage());
    }
  }

  private static boolean identifiesHost(X509Certificate certificate, String hostId)
      throws CertificateParsingException {
    Collection<List<?>> names = certificate.getSubjectAlternativeNames();
    return names != null
        && names.stream()
            .anyMatch(name -> name.get(0).equals(DNS_NAME) && hostId.equals(name.get(1)));
  }
}

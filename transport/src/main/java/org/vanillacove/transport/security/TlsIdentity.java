package org.vanillacove.transport.security;

import com.linecorp.armeria.common.TlsKeyPair;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.List;

/** A private key with its certificate chain, the trusted authorities and the TLS contexts. */
final class TlsIdentity {
  /** Sample data that is signed to check that the key belongs to the certificate. */
  private static final byte[] SAMPLE_DATA = {1, 2, 3, 4};

  /** TLS versions enabled on peer connections. */
  private static final String[] PROTOCOLS = {"TLSv1.3", "TLSv1.2"};

  /** Private key and certificate chain. */
  private final TlsKeyPair keyPair;

  /** Certificates of the authorities that may issue a peer's certificate. */
  private final List<X509Certificate> trusted;

  /** TLS context for accepted peer connections; requires a client certificate. */
  private final SslContext serverContext;

  /** TLS context for outgoing peer connections. */
  private final SslContext clientContext;

  private TlsIdentity(TlsKeyPair keyPair, List<X509Certificate> trusted) throws IOException {
    this.keyPair = keyPair;
    this.trusted = trusted;
    PrivateKey key = keyPair.privateKey();
    List<X509Certificate> chain = keyPair.certificateChain();
    serverContext =
        SslContextBuilder.forServer(key, chain)
            .sslProvider(SslProvider.JDK)
            .protocols(PROTOCOLS)
            .trustManager(trusted)
            .clientAuth(ClientAuth.REQUIRE)
            .build();
    // Host names aren't verified, since hosts change addresses. The hello frame checks the host ID.
    clientContext =
        SslContextBuilder.forClient()
            .sslProvider(SslProvider.JDK)
            .protocols(PROTOCOLS)
            .keyManager(key, chain)
            .trustManager(trusted)
            .endpointIdentificationAlgorithm(null)
            .build();
  }

  /**
   * Loads and checks the key, its certificate and the trusted authorities.
   *
   * @throws TlsKeyException if a file cannot be used; the message names the file and the reason
   */
  static TlsIdentity load(TlsFiles files) throws TlsKeyException {
    TlsKeyPair pair = loadPair(files);
    checkPair(files, pair);
    List<X509Certificate> trusted = loadTrusted(files.trustFile());
    try {
      return new TlsIdentity(pair, trusted);
    } catch (IOException | IllegalArgumentException e) {
      throw new TlsKeyException(files.certificateFile() + ": " + e.getMessage(), e);
    }
  }

  /** Returns the private key and its certificate chain. */
  TlsKeyPair keyPair() {
    return keyPair;
  }

  /** Returns the certificates of the trusted authorities. */
  List<X509Certificate> trusted() {
    return trusted;
  }

  /** Returns the TLS context for accepted peer connections. */
  SslContext serverContext() {
    return serverContext;
  }

  /** Returns the TLS context for outgoing peer connections. */
  SslContext clientContext() {
    return clientContext;
  }

  private static TlsKeyPair loadPair(TlsFiles files) throws TlsKeyException {
    requireFile(files.certificateFile());
    requireFile(files.keyFile());
    try {
      TlsKeyPair pair = TlsKeyPair.of(files.keyFile().toFile(), files.certificateFile().toFile());
      return TlsKeyPair.of(toJdkKey(pair), pair.certificateChain());
    } catch (IllegalArgumentException | GeneralSecurityException e) {
      throw new TlsKeyException(
          files.keyFile() + " or " + files.certificateFile() + ": " + e.getMessage(), e);
    }
  }

  /** Converts the private key to the implementation of the JDK's security provider. */
  private static PrivateKey toJdkKey(TlsKeyPair pair) throws GeneralSecurityException {
    String algorithm = pair.certificateChain().getFirst().getPublicKey().getAlgorithm();
    return KeyFactory.getInstance(algorithm)
        .generatePrivate(new PKCS8EncodedKeySpec(pair.privateKey().getEncoded()));
  }

  private static void checkPair(TlsFiles files, TlsKeyPair pair) throws TlsKeyException {
    PrivateKey key = pair.privateKey();
    PublicKey publicKey = pair.certificateChain().getFirst().getPublicKey();
    try {
      pair.certificateChain().getFirst().checkValidity();
      Signature signature = Signature.getInstance(signatureAlgorithm(key));
      signature.initSign(key);
      signature.update(SAMPLE_DATA);
      byte[] signed = signature.sign();
      signature.initVerify(publicKey);
      signature.update(SAMPLE_DATA);
      if (!signature.verify(signed)) {
        throw new TlsKeyException(
            files.keyFile()
                + ": the private key does not match the certificate in "
                + files.certificateFile(),
            null);
      }
    } catch (GeneralSecurityException e) {
      throw new TlsKeyException(files.certificateFile() + ": " + e.getMessage(), e);
    }
  }

  private static String signatureAlgorithm(PrivateKey key) {
    return switch (key.getAlgorithm()) {
      case "RSA" -> "SHA256withRSA";
      case "EC" -> "SHA256withECDSA";
      default -> key.getAlgorithm();
    };
  }

  private static List<X509Certificate> loadTrusted(Path file) throws TlsKeyException {
    requireFile(file);
    try (InputStream stream = Files.newInputStream(file)) {
      List<X509Certificate> certificates =
          CertificateFactory.getInstance("X.509").generateCertificates(stream).stream()
              .map(X509Certificate.class::cast)
              .toList();
      if (certificates.isEmpty()) {
        throw new TlsKeyException(file + ": contains no certificate", null);
      }
      return certificates;
    } catch (IOException | GeneralSecurityException e) {
      throw new TlsKeyException(file + ": " + e.getMessage(), e);
    }
  }

  private static void requireFile(Path file) throws TlsKeyException {
    if (!Files.isReadable(file)) {
      throw new TlsKeyException(
          file + ": cannot be read", new NoSuchFileException(file.toString()));
    }
  }
}

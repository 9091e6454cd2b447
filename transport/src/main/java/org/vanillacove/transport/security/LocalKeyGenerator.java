package org.vanillacove.transport.security;

import java.io.IOException;
import java.io.StringWriter;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.SecureRandom;
import java.security.cert.X509Certificate;
import java.security.spec.ECGenParameterSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.Date;
import java.util.Optional;
import java.util.Set;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.cert.X509v3CertificateBuilder;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.openssl.jcajce.JcaPKCS8Generator;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/** Generates TLS keys for local runs: a certificate authority and key pairs signed by it. */
public final class LocalKeyGenerator {
  /** How long certificates stay valid after they are issued. */
  private static final Duration VALIDITY = Duration.ofDays(30);

  /** How far the start of validity is backdated, to tolerate clock differences. */
  private static final Duration CLOCK_MARGIN = Duration.ofHours(1);

  /** Number of random bits in a certificate's serial number. */
  private static final int SERIAL_BITS = 120;

  /** File permissions of a private key: only the owner may read and write it. */
  private static final Set<PosixFilePermission> OWNER_ONLY =
      PosixFilePermissions.fromString("rw-------");

  /** Directory to which certificates and keys are written. */
  private final Path directory;

  /** Generates the serial numbers of certificates. */
  private final SecureRandom random = new SecureRandom();

  /** Key pair with which the authority signs certificates. */
  private final KeyPair authorityKey;

  /** Self-signed certificate of the authority. */
  private final X509Certificate authority;

  /** Creates an authority and writes its certificate to {@code authority.pem}. */
  public LocalKeyGenerator(Path directory) throws IOException, GeneralSecurityException {
    this.directory = directory;
    Files.createDirectories(directory);
    authorityKey = newKey();
    X500Name name = new X500Name("CN=vanillacove local authority");
    authority = sign(newBuilder(name, name, authorityKey, Optional.empty()));
    write(trustFile(), authority);
  }

  /** Creates a key and a certificate for {@code name} and for localhost; returns the files. */
  public TlsFiles generateKey(String name) throws IOException, GeneralSecurityException {
    KeyPair key = newKey();
    X500Name subject = new X500Name("CN=" + name);
    X500Name issuer = new X500Name(authority.getSubjectX500Principal().getName());
    X509Certificate certificate = sign(newBuilder(issuer, subject, key, Optional.of(name)));
    Path certificateFile = directory.resolve(name + ".pem");
    Path keyFile = directory.resolve(name + ".key");
    write(certificateFile, certificate);
    Files.deleteIfExists(keyFile);
    Files.createFile(keyFile, PosixFilePermissions.asFileAttribute(OWNER_ONLY));
    write(keyFile, pkcs8(key.getPrivate()));
    return new TlsFiles(certificateFile, keyFile, trustFile());
  }

  private Path trustFile() {
    return directory.resolve("authority.pem");
  }

  private static KeyPair newKey() throws GeneralSecurityException {
    KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
    generator.initialize(new ECGenParameterSpec("secp256r1"));
    return generator.generateKeyPair();
  }

  private X509v3CertificateBuilder newBuilder(
      X500Name issuer, X500Name subject, KeyPair key, Optional<String> host) throws IOException {
    Instant now = Instant.now();
    X509v3CertificateBuilder builder =
        new JcaX509v3CertificateBuilder(
            issuer,
            new BigInteger(SERIAL_BITS, random).add(BigInteger.ONE),
            Date.from(now.minus(CLOCK_MARGIN)),
            Date.from(now.plus(VALIDITY)),
            subject,
            key.getPublic());
    builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(host.isEmpty()));
    if (host.isPresent()) {
      GeneralName[] names = {
        new GeneralName(GeneralName.iPAddress, "127.0.0.1"),
        new GeneralName(GeneralName.dNSName, "localhost"),
        new GeneralName(GeneralName.dNSName, host.get())
      };
      builder.addExtension(Extension.subjectAlternativeName, false, new GeneralNames(names));
    }
    return builder;
  }

  private X509Certificate sign(X509v3CertificateBuilder builder) throws GeneralSecurityException {
    try {
      return new JcaX509CertificateConverter()
          .getCertificate(
              builder.build(
                  new JcaContentSignerBuilder("SHA256withECDSA").build(authorityKey.getPrivate())));
    } catch (OperatorCreationException e) {
      throw new GeneralSecurityException(e);
    }
  }

  private static Object pkcs8(PrivateKey key) throws IOException {
    return new JcaPKCS8Generator(key, null).generate();
  }

  private static void write(Path file, Object pem) throws IOException {
    StringWriter text = new StringWriter();
    try (JcaPEMWriter writer = new JcaPEMWriter(text)) {
      writer.writeObject(pem);
    }
    Files.writeString(file, text.toString());
  }
}

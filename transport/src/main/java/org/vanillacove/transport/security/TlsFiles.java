package org.vanillacove.transport.security;

import java.nio.file.Path;

/**
 * PEM files with the TLS key, certificate and trusted authorities of a port.
 *
 * @param certificateFile certificate chain, starting with the port's own certificate
 * @param keyFile unencrypted private key in PKCS #8 format
 * @param trustFile certificates of the authorities that may issue the peer's certificate
 */
public record TlsFiles(Path certificateFile, Path keyFile, Path trustFile) {}

package org.vanillacove.transport.security;

import java.nio.file.Path;

/**
 * The PEM files of a port.
 *
 * @param certificateFile certificate chain, the own certificate first
 * @param keyFile private key in PKCS #8, without a password
 * @param trustFile certificates of the authorities that the other end's certificate must come from
 */
public record TlsFiles(Path certificateFile, Path keyFile, Path trustFile) {}

/** TLS keys from PEM files, reloaded when they are rotated. */
package org.vanillacove.transport.security;

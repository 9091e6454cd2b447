/** TLS keys loaded from PEM files and reloaded when the files change. */
package org.vanillacove.transport.security;

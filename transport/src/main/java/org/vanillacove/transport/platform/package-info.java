/** The platform's log, host list and workers over HTTP. */
package org.vanillacove.transport.platform;

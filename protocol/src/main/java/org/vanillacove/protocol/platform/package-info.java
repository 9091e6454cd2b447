/** Interfaces to the services of the platform: log, host list and workers. */
package org.vanillacove.protocol.platform;

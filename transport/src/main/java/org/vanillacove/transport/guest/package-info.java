/** Guests' HTTP requests: the service at the entry host and the client towards backend servers. */
package org.vanillacove.transport.guest;

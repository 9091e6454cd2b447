/**
 * Decisions about guests' requests: which backend server takes a request, when it waits, when it is
 * refused and when it may be tried again; free of sockets.
 */
package org.vanillacove.coordination.routing;

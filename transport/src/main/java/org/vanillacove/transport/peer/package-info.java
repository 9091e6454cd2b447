/**
 * Links between entry hosts over TCP. Each host opens a connection to each peer and sends its
 * messages and requests on it; replies return on the same connection. A pair of hosts therefore has
 * two connections, and a failure in one direction is detected in that direction only.
 */
package org.vanillacove.transport.peer;

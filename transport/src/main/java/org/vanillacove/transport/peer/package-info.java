/**
 * The link between entry hosts over TCP. Each host dials each peer; the dialled connection carries
 * the dialler's messages, its requests and the replies to them, so a pair of hosts has two
 * connections and a loss in one direction is seen in that direction only.
 */
package org.vanillacove.transport.peer;

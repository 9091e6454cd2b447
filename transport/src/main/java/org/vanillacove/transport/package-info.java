/** HTTP servers and clients, links between hosts, and clients of the platform's services. */
package org.vanillacove.transport;

/** HTTP clients for the platform's log and host list, and for workers. */
package org.vanillacove.transport.platform;

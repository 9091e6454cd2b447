/** A cell in one process, with stand-ins for the platform. */
package org.vanillacove.daemon.local;

/** Output formats of the daemon's log. */
package org.vanillacove.daemon.log;

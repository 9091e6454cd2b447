/** Interface to clocks and timers, so that tests can control time. */
package org.vanillacove.protocol.timer;

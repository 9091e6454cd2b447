/** The timer service that runs on the clocks of the machine. */
package org.vanillacove.coordination.timer;

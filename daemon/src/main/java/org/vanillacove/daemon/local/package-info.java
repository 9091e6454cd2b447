/** A cell that runs in one process together with a simulated platform. */
package org.vanillacove.daemon.local;

/** Timer service on the system clocks. */
package org.vanillacove.coordination.timer;

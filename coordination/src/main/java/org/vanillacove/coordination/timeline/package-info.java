/** Timeline: the events of all entry hosts, merged into one order. */
package org.vanillacove.coordination.timeline;

/** The time line: events of all entry hosts in one order. */
package org.vanillacove.coordination.timeline;

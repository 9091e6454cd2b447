/** Events of the timeline and the interface that records them. */
package org.vanillacove.protocol.timeline;

/** Events of the time line. */
package org.vanillacove.protocol.timeline;

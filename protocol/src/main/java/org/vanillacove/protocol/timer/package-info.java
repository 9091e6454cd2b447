/** Time as a service that parts subscribe to. */
package org.vanillacove.protocol.timer;

/** Interface of the message link between entry hosts. */
package org.vanillacove.protocol.peer;

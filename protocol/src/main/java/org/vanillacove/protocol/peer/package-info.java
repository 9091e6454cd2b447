/** The link between entry hosts. */
package org.vanillacove.protocol.peer;

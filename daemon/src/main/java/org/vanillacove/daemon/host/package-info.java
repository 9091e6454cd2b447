/** Assembly of an entry host from its parts. */
package org.vanillacove.daemon.host;

/** Creates the components of an entry host from its settings and connects them. */
package org.vanillacove.daemon.host;

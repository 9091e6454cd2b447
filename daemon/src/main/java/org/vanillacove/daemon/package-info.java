/** Command line and process lifecycle of the vanillacoved daemon. */
package org.vanillacove.daemon;

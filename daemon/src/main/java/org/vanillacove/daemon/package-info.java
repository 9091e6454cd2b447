/** The vanillacoved binary. */
package org.vanillacove.daemon;

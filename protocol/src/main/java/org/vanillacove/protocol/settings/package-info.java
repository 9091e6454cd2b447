/** Settings of a daemon. */
package org.vanillacove.protocol.settings;

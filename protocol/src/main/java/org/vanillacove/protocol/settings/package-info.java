/** Settings of a daemon and their validation. */
package org.vanillacove.protocol.settings;

/** Leadership, membership, sessions, routing and configuration. */
package org.vanillacove.coordination;

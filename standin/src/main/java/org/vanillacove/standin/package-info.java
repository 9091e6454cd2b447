/** Stand-ins for the platform, for tests and the local start. */
package org.vanillacove.standin;

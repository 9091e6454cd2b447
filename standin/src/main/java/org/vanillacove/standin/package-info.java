/** Replacements for the platform's services, used by tests and by local cells. */
package org.vanillacove.standin;

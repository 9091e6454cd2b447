/** Records, messages and settings that processes exchange, and their checks. */
package org.vanillacove.protocol;

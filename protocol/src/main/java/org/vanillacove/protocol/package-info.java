/** Records, messages, documents and settings exchanged between processes, with their checks. */
package org.vanillacove.protocol;

/** Conversions between the platform's interface types and their bytes on the wire. */
package org.vanillacove.protocol.codec;

/** Codecs between the types of the platform interfaces and their wire formats. */
package org.vanillacove.protocol.codec;

/** HTTP, peer link and platform clients. */
package org.vanillacove.transport;

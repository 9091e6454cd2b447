/** Job files. */
package org.vanillacove.protocol.job;

/** Parsing and validation of job files. */
package org.vanillacove.protocol.job;

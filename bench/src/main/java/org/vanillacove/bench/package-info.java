/** Measurements. */
package org.vanillacove.bench;

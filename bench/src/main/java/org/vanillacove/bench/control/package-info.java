/** Measures what control costs each host. */
package org.vanillacove.bench.control;

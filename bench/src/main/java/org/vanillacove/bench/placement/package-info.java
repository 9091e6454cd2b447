/** Benchmark of the speed of placement decisions. */
package org.vanillacove.bench.placement;

/** Benchmark of the resources that the control plane uses on each host. */
package org.vanillacove.bench.control;

/** Benchmark of an entry host: routing decision time, throughput and added latency. */
package org.vanillacove.bench.route;

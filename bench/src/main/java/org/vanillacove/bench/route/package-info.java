/** Cost of routing: decision time, throughput and added latency of an entry host. */
package org.vanillacove.bench.route;

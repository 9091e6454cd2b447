/** Benchmarks of placement policies on seeded job streams: waiting, packing and fairness. */
package org.vanillacove.bench.policy;

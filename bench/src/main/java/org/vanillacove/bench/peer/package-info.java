/** Benchmark of the links between entry hosts. */
package org.vanillacove.bench.peer;

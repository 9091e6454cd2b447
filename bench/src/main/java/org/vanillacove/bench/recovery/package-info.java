/** Benchmark of leader takeover, restore of the state and log usage per task start. */
package org.vanillacove.bench.recovery;

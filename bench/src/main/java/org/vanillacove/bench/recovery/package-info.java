/** Measures takeover, restore and what a start costs the log. */
package org.vanillacove.bench.recovery;

/** Seeded job streams against placement policies, and the figures of their waiting and packing. */
package org.vanillacove.bench.policy;

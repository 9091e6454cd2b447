/** Benchmark of configuration changes on nine hosts in three regions. */
package org.vanillacove.bench.config;

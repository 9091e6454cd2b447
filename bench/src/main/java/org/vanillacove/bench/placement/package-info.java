/** Speed of placement decisions. */
package org.vanillacove.bench.placement;

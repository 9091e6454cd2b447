/** Seeded random schedules of faults against real cell nodes on fakes of the platform. */
package org.vanillacove.bench.faults;

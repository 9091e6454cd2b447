/** Seeded random schedules of faults over real cell nodes with fakes of the platform. */
package org.vanillacove.bench.faults;

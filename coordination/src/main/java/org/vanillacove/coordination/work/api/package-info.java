/**
 * Interfaces through which the scheduling of jobs accesses the store, the workers and the adviser.
 */
package org.vanillacove.coordination.work.api;

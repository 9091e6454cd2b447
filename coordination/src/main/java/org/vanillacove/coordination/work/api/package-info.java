/** What the scheduling of jobs needs from the outside: a store, workers, an adviser. */
package org.vanillacove.coordination.work.api;

/** Leader election: claims of leadership, decided by their order in the log. */
package org.vanillacove.coordination.leadership;

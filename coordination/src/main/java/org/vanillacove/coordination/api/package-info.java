/** Interfaces between the parts of an entry host. */
package org.vanillacove.coordination.api;

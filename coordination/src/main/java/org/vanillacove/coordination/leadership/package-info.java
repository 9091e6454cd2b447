/** Claims of leadership. */
package org.vanillacove.coordination.leadership;

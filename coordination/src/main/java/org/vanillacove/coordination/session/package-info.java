/** Worker sessions: who renews which worker, and what its holder reports. */
package org.vanillacove.coordination.session;

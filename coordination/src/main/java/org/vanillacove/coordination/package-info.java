/** Leader election, membership, worker sessions, request routing and configuration. */
package org.vanillacove.coordination;

/** HTTP service for guest requests on entry hosts and HTTP client for backend servers. */
package org.vanillacove.transport.guest;

/** The operator API: JSON resources over HTTP, authentication, metrics and health checks. */
package org.vanillacove.transport.operator;

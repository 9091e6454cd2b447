/** The operators' interface over HTTP with JSON. */
package org.vanillacove.transport.operator;

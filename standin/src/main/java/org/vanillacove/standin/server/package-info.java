/** Simulated platform services and workers that are reached over HTTP. */
package org.vanillacove.standin.server;

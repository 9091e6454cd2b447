/** Simulated backend servers in which tests can inject faults. */
package org.vanillacove.standin.backend;

/** Stand-in backend servers with faults that tests cause. */
package org.vanillacove.standin.backend;

/** The vanillacove command line. */
package org.vanillacove.cli;

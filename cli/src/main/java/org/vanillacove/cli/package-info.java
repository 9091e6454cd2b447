/** The vanillacove command line for operators: commands, their output and the API client. */
package org.vanillacove.cli;

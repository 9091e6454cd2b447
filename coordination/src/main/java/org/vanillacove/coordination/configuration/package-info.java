/** Changes of the configuration and the values in force. */
package org.vanillacove.coordination.configuration;

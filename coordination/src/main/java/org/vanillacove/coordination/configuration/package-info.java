/** Changes of the configuration, its history and the values in force on each host. */
package org.vanillacove.coordination.configuration;

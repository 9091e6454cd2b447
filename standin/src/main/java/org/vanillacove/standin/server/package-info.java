/** Stand-ins of the platform that serve its HTTP interfaces, for tests over sockets. */
package org.vanillacove.standin.server;

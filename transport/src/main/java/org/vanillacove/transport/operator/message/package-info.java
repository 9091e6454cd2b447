/** JSON bodies of the operators' interface, shared by server and command line. */
package org.vanillacove.transport.operator.message;

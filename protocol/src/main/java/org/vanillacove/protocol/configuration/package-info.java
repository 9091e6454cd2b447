/** The configuration document: defaults of the fleet and reasoned exceptions. */
package org.vanillacove.protocol.configuration;

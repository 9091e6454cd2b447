/** The configuration document: fleet defaults, and exceptions each with a reason and an owner. */
package org.vanillacove.protocol.configuration;

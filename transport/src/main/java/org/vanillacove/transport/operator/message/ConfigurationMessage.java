package org.vanillacove.transport.operator.message;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A configuration document with its version.
 *
 * @param version version of the document
 * @param document the document as JSON
 */
public record ConfigurationMessage(long version, JsonNode document) {}

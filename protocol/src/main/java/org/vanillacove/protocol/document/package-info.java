/** Strict reading of JSON documents against a schema, with every fault named by its path. */
package org.vanillacove.protocol.document;

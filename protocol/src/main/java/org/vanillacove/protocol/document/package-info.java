/** Strict parsing and schema validation of JSON documents; faults are reported by JSON path. */
package org.vanillacove.protocol.document;

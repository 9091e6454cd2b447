/** Queries that entry hosts send to each other on behalf of operators. */
package org.vanillacove.coordination.operator;

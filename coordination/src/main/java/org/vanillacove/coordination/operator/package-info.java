/** Questions that entry hosts ask each other on behalf of operators. */
package org.vanillacove.coordination.operator;

/** Cost of the link between entry hosts. */
package org.vanillacove.bench.peer;

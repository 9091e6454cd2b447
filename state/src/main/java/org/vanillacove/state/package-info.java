/** State and policy of the cell, free of I/O and clocks so that every host computes the same. */
package org.vanillacove.state;

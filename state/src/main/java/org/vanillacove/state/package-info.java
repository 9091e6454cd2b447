/** Cell state and policy; no I/O and no clock. */
package org.vanillacove.state;

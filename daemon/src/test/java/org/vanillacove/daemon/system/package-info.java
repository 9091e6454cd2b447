/** Tests that run entry hosts as separate processes and cause failures from outside. */
package org.vanillacove.daemon.system;

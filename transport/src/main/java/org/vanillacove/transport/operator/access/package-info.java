/** Tokens of operators, their roles and the limit on failed logins. */
package org.vanillacove.transport.operator.access;

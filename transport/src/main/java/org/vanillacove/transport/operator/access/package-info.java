/** Authentication of operators by tokens, their roles and the limit on failed logins. */
package org.vanillacove.transport.operator.access;

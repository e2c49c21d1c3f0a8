/** Parses tickets from JSON. Not for use outside the ticket package. */
package org.galenahinge.ticket.internal;

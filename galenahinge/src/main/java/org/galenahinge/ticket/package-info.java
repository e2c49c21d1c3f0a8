/**
 * Holds change tickets: their format, their checks and the join that decides what is in force.
 */
package org.galenahinge.ticket;

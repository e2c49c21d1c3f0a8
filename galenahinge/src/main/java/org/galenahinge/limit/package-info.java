/**
 * Decides what is admitted and what is refused. Pure decisions: no clock, no network.
 */
package org.galenahinge.limit;

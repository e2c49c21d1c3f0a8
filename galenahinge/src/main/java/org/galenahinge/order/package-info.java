/**
 * Decides whether a call that may not be repeated is run. Pure decisions: no clock, no network.
 */
package org.galenahinge.order;

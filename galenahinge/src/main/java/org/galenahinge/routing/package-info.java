/**
 * Decides which replica a request goes to. Pure decisions: no clock, no network.
 */
package org.galenahinge.routing;

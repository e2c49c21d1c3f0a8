/**
 * Speaks to the one upstream beside a slot process: calls, orders and state.
 */
package org.galenahinge.engine;

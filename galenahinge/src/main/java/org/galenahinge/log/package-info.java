/**
 * Structured logging: events as JSON lines, and routing and placement decisions, of which the latest are kept for
 * operators.
 */
package org.galenahinge.log;

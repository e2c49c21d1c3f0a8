/**
 * Decides whether a non-idempotent request is run, so that none runs twice. Pure decisions: no clock, no network.
 */
package org.galenahinge.idempotency;

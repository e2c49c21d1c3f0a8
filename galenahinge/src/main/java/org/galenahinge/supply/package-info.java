/**
 * Supplies engines with weights: chunks are fetched, verified, staged and verified again before the load command is
 * sent.
 */
package org.galenahinge.supply;

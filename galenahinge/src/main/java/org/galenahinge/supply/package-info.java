/**
 * Brings weights to engines: chunks are fetched, verified, staged beside the engine, verified again, and ordered.
 */
package org.galenahinge.supply;

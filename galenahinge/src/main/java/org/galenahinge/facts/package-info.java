/**
 * The facts that the store publishes: read by a few nodes, passed on to the rest, joined by revision, never back.
 */
package org.galenahinge.facts;

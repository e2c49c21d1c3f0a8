/**
 * The facts that the store publishes. A few nodes read them from the store and relay them to the others; each node
 * merges them by revision, so that no fact is replaced by an older one.
 */
package org.galenahinge.facts;

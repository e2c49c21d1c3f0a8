/**
 * A soak of real entry processes: callers and upstreams of our own around them, faults from a seed, and a verdict from
 * what callers and upstreams see.
 */
package org.galenahinge.bench.soak;

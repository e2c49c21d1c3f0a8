package org.galenahinge.bench.soak;

/**
 * The naming of a version of the weights.
 *
 * @param version the version
 * @param acknowledgedNanos when the store acknowledged it, in nanoseconds of {@link System#nanoTime()}
 */
record Naming(long version, long acknowledgedNanos) {}

package org.galenahinge.standins.platform;

/**
 * What an upstream saw of one request that reached it.
 *
 * @param upstream the id of the upstream
 * @param arrivalNanos when the whole request had come, in nanoseconds of {@link System#nanoTime()}
 * @param endNanos when the upstream ended its work, in the same clock
 * @param executed whether it began to run the request
 * @param brokeOff whether the upstream itself closed the connection midway
 */
public record UpstreamRun(String upstream, long arrivalNanos, long endNanos, boolean executed, boolean brokeOff) {}

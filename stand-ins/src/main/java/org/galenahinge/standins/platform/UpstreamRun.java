package org.galenahinge.standins.platform;

import java.util.Objects;
import java.util.Optional;

/**
 * What an upstream saw of one request that reached it.
 *
 * @param upstream the id of the upstream
 * @param arrivalNanos when the whole request had come, in nanoseconds of {@link System#nanoTime()}
 * @param endNanos when the upstream ended its work, in the same clock
 * @param executed whether it began to run the request
 * @param brokeOff whether the upstream itself closed the connection midway
 * @param begin when an engine began the request, and on which version; empty if it did not, or the upstream has no engine
 */
public record UpstreamRun(
        String upstream, long arrivalNanos, long endNanos, boolean executed, boolean brokeOff, Optional<Begin> begin) {
    /** Rejects null components. */
    public UpstreamRun {
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(begin, "begin");
    }

    /**
     * Creates what an upstream without an engine saw.
     *
     * @param upstream the id of the upstream
     * @param arrivalNanos when the whole request had come, in nanoseconds of {@link System#nanoTime()}
     * @param endNanos when the upstream ended its work, in the same clock
     * @param executed whether it began to run the request
     * @param brokeOff whether the upstream itself closed the connection midway
     */
    public UpstreamRun(String upstream, long arrivalNanos, long endNanos, boolean executed, boolean brokeOff) {
        this(upstream, arrivalNanos, endNanos, executed, brokeOff, Optional.empty());
    }

    /**
     * The first event of a request.
     *
     * @param nanos when it came, in nanoseconds of {@link System#nanoTime()}
     * @param version the version of the weights that the engine had
     */
    public record Begin(long nanos, long version) {}
}

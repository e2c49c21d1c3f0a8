package org.galenahinge.bench.soak;

/**
 * A span of time.
 *
 * @param fromNanos its begin, in nanoseconds of {@link System#nanoTime()}
 * @param toNanos its end, in the same clock
 */
record Span(long fromNanos, long toNanos) {
    boolean overlaps(long otherFromNanos, long otherToNanos) {
        return otherFromNanos <= toNanos && fromNanos <= otherToNanos;
    }

    boolean contains(long nanos) {
        return overlaps(nanos, nanos);
    }
}

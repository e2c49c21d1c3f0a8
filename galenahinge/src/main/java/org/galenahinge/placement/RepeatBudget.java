package org.galenahinge.placement;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds how often this node sends requests of one service again. The bound holds for the sum over all nodes without any
 * of them talking: each takes a share of the slack, and the ratio of what it has seen itself. Belongs to one thread.
 */
public final class RepeatBudget {
    private static final int SLICES = 20;

    private final Terms terms;
    private final long sliceNanos;
    private final long[] requests = new long[SLICES + 1];
    private final long[] repeats = new long[SLICES + 1];
    private long slice;

    private RepeatBudget(Terms terms, long nowNanos) {
        this.terms = terms;
        this.sliceNanos = terms.window().toNanos() / SLICES;
        this.slice = Math.floorDiv(nowNanos, sliceNanos);
    }

    /**
     * Creates a budget of which nothing is spent.
     *
     * @param terms the bound
     * @param nowNanos the time, in nanoseconds
     * @return the budget
     */
    public static RepeatBudget create(Terms terms, long nowNanos) {
        return new RepeatBudget(Objects.requireNonNull(terms, "terms"), nowNanos);
    }

    /**
     * The bound on repeats of a service, over all nodes.
     *
     * @param ratio repeats for each request
     * @param slack repeats allowed beside the ratio, in each window
     * @param window the window
     */
    public record Terms(double ratio, double slack, Duration window) {
        /** Checks the parts. */
        public Terms {
            Objects.requireNonNull(window, "window");
            if (!(ratio >= 0) || !(slack >= 0) || window.isNegative() || window.isZero()) {
                throw new IllegalArgumentException("ratio, slack and window must be positive");
            }
        }
    }

    /**
     * Counts a request of the service.
     *
     * @param nowNanos the time, in nanoseconds
     */
    public void request(long nowNanos) {
        advance(nowNanos);
        requests[indexOf(slice)]++;
    }

    /**
     * Takes one repeat.
     *
     * @param nowNanos the time, in nanoseconds
     * @param nodes how many nodes share the slack
     * @return whether the request may be sent again
     */
    public boolean tryRepeat(long nowNanos, int nodes) {
        advance(nowNanos);
        if (left(nodes) < 1) {
            return false;
        }
        repeats[indexOf(slice)]++;
        if (sum(repeats) > allowed(nodes)) {
            throw new IllegalStateException("more repeats than the budget holds");
        }
        return true;
    }

    /**
     * Returns how many repeats are left now.
     *
     * @param nodes how many nodes share the slack
     * @return the number
     */
    public double left(int nodes) {
        return allowed(nodes) - sum(repeats);
    }

    /** A node that is restarted forgets what it spent: two lives of each may fall into a window. */
    private double allowed(int nodes) {
        double ownSlack = terms.slack() / (2.0 * Math.max(1, nodes));
        return terms.ratio() * (sum(requests) - requests[indexOf(slice)]) + ownSlack;
    }

    private void advance(long nowNanos) {
        long now = Math.floorDiv(nowNanos, sliceNanos);
        long first = Math.max(slice + 1, now - SLICES);
        for (long next = first; next <= now; next++) {
            requests[indexOf(next)] = 0;
            repeats[indexOf(next)] = 0;
        }
        slice = Math.max(slice, now);
    }

    private static int indexOf(long slice) {
        return Math.floorMod(slice, SLICES + 1);
    }

    private static long sum(long[] counts) {
        long sum = 0;
        for (long count : counts) {
            sum += count;
        }
        return sum;
    }
}

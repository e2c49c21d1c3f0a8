package org.galenahinge.placement;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits the retries that this node sends to one service. The limit holds for the sum over all nodes without any
 * communication between them: each node uses its share of the slack, and the ratio of the requests it has seen itself.
 * Not thread-safe: all calls come from one thread.
 */
public final class ServiceRetryBudget {
    private static final int SLICES = 20;

    private final Limits limits;
    private final long sliceNanos;
    private final long[] requests = new long[SLICES + 1];
    private final long[] retries = new long[SLICES + 1];
    private long slice;

    private ServiceRetryBudget(Limits limits, long nowNanos) {
        this.limits = limits;
        this.sliceNanos = limits.window().toNanos() / SLICES;
        this.slice = Math.floorDiv(nowNanos, sliceNanos);
    }

    /**
     * Creates an unused budget.
     *
     * @param limits limits of the service over all nodes
     * @param nowNanos the time, in nanoseconds
     * @return the budget
     */
    public static ServiceRetryBudget create(Limits limits, long nowNanos) {
        return new ServiceRetryBudget(Objects.requireNonNull(limits, "limits"), nowNanos);
    }

    /**
     * Limits on the retries to a service, over all nodes. In each window there are at most {@code ratio} times the
     * requests, plus {@code slack}.
     *
     * @param ratio retries allowed per request, not negative
     * @param slack further retries allowed in each window, not negative
     * @param window length of the sliding window, greater than zero
     */
    public record Limits(double ratio, double slack, Duration window) {
        /** Rejects values out of range. */
        public Limits {
            Objects.requireNonNull(window, "window");
            if (!(ratio >= 0) || !(slack >= 0) || window.isNegative() || window.isZero()) {
                throw new IllegalArgumentException("ratio and slack must not be negative, window must be positive");
            }
        }
    }

    /**
     * Counts a request to the service.
     *
     * @param nowNanos the time, in nanoseconds
     */
    public void recordRequest(long nowNanos) {
        advance(nowNanos);
        requests[indexOf(slice)]++;
    }

    /**
     * Consumes one retry from the budget, if any remains.
     *
     * @param nowNanos the time, in nanoseconds
     * @param nodes number of nodes that share the slack
     * @return whether the request may be retried
     * @throws IllegalStateException if the budget would be exceeded, which is a programming error
     */
    public boolean tryRetry(long nowNanos, int nodes) {
        advance(nowNanos);
        if (remaining(nodes) < 1) {
            return false;
        }
        retries[indexOf(slice)]++;
        if (sum(retries) > allowed(nodes)) {
            throw new IllegalStateException("more retries than the budget allows");
        }
        return true;
    }

    /**
     * Returns the remaining retries as of the last recorded request or retry.
     *
     * @param nodes number of nodes that share the slack
     * @return the remaining retries; may be a fraction or negative
     */
    public double remaining(int nodes) {
        return allowed(nodes) - sum(retries);
    }

    /** Halves the slack: a restarted node loses its counts, so two incarnations of each node may fall into one window. */
    private double allowed(int nodes) {
        double nodeSlack = limits.slack() / (2.0 * Math.max(1, nodes));
        return limits.ratio() * (sum(requests) - requests[indexOf(slice)]) + nodeSlack;
    }

    private void advance(long nowNanos) {
        long now = Math.floorDiv(nowNanos, sliceNanos);
        long first = Math.max(slice + 1, now - SLICES);
        for (long next = first; next <= now; next++) {
            requests[indexOf(next)] = 0;
            retries[indexOf(next)] = 0;
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

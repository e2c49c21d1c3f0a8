package org.galenahinge.placement;

import java.time.Duration;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Objects;
import java.util.Set;

/**
 * The time for which an upstream wants no requests from this node, as it said when it rejected one, and the gradual return
 * after it. The return starts a little later than the upstream said, at random, so that the nodes do not return together.
 * At first one request is sent, and no other until the upstream accepts it; each accepted one raises the number that may
 * be unanswered by one, until the return is complete. Not thread-safe: all calls come from one thread.
 */
public final class RetryAfterPause {
    /** How long after the end of the time the return starts at most, as a share of that time. */
    private static final double SPREAD_SHARE = 0.5;

    private static final Duration MAXIMUM_SPREAD = Duration.ofSeconds(1);

    /** Unanswered requests up to which their number is limited. */
    private static final int MAXIMUM_RETURNING = 8;

    private final Set<Object> returning = Collections.newSetFromMap(new IdentityHashMap<>());
    private boolean isOver = true;
    private long returnNanos;
    private int allowed;

    /**
     * Records that the upstream wants no requests for a time. Of overlapping times the one that ends last counts.
     *
     * @param time the time from now; zero has no effect
     * @param spread how far to delay the return within the possible delays, from 0 to 1
     * @param nowNanos the time, in nanoseconds
     */
    public void begin(Duration time, double spread, long nowNanos) {
        Objects.requireNonNull(time, "time");
        if (time.isNegative() || spread < 0 || spread > 1) {
            throw new IllegalArgumentException(
                    "time must not be negative, spread from 0 to 1: " + time + ", " + spread);
        }
        if (time.isZero()) {
            return;
        }
        double spreadNanos = spread * Math.min(MAXIMUM_SPREAD.toNanos(), SPREAD_SHARE * time.toNanos());
        long newReturnNanos = nowNanos + time.toNanos() + (long) spreadNanos;
        returnNanos = isOver || newReturnNanos - returnNanos > 0 ? newReturnNanos : returnNanos;
        isOver = false;
        allowed = 1;
        returning.clear();
    }

    /**
     * Returns whether the upstream must get no request, because the time is not over or as many as may return are there.
     *
     * @param nowNanos the time, in nanoseconds
     * @return whether to send it no request now
     */
    boolean isBlocking(long nowNanos) {
        return !isOver && (isActive(nowNanos) || returning.size() >= allowed);
    }

    /**
     * Returns whether the time is not over yet.
     *
     * @param nowNanos the time, in nanoseconds
     * @return whether this node sends the upstream no request before {@link #returnNanos()}
     */
    public boolean isActive(long nowNanos) {
        return !isOver && nowNanos - returnNanos < 0;
    }

    /**
     * Returns whether the time is over but the upstream has not accepted enough requests since, so that it may reject
     * another one.
     *
     * @param nowNanos the time, in nanoseconds
     * @return whether this node returns to the upstream
     */
    boolean isReturning(long nowNanos) {
        return !isOver && !isActive(nowNanos);
    }

    /**
     * Returns when this node returns to the upstream, if the pause is active.
     *
     * @return the time, in nanoseconds
     */
    long returnNanos() {
        return returnNanos;
    }

    /**
     * Records that a request is sent.
     *
     * @param attempt identifies the attempt in later calls
     * @param nowNanos the time, in nanoseconds
     */
    void recordSent(Object attempt, long nowNanos) {
        if (isReturning(nowNanos)) {
            returning.add(attempt);
        }
    }

    /**
     * Records that the upstream accepted a request. Has no effect if it was sent before the time was over.
     *
     * @param attempt the attempt
     */
    void recordAccepted(Object attempt) {
        if (!returning.remove(attempt)) {
            return;
        }
        allowed++;
        if (allowed > MAXIMUM_RETURNING) {
            isOver = true;
            returning.clear();
        }
    }

    /**
     * Records that the upstream rejected a request without naming a time: the return starts anew. Has no effect if it was
     * sent before the time was over.
     *
     * @param attempt the attempt
     */
    void recordRejected(Object attempt) {
        if (returning.remove(attempt)) {
            allowed = 1;
        }
    }

    /**
     * Records that a request ended without showing whether the upstream accepts requests.
     *
     * @param attempt the attempt
     */
    void recordEnded(Object attempt) {
        returning.remove(attempt);
    }
}

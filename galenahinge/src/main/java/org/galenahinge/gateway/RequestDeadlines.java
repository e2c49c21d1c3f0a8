package org.galenahinge.gateway;

import java.time.Duration;
import java.util.Optional;
import org.galenahinge.catalog.Route;
import org.galenahinge.placement.PromptShape;
import org.galenahinge.placement.PromptSizePolicy;

/**
 * The points in time that limit one request, in nanoseconds of the monotonic clock.
 *
 * @param arrivedNanos when the request arrived
 * @param onTimeNanos when the response must start to meet the route's target latency, which counts from the caller's
 *     first attempt
 * @param deadlineNanos when the response must be complete
 * @param slotWaitMargin how long before its target the request stops waiting for a slot
 * @param queueOrderNanos its place among the requests of equal priority that wait for a slot, the lowest first
 */
record RequestDeadlines(
        long arrivedNanos, long onTimeNanos, long deadlineNanos, Duration slotWaitMargin, long queueOrderNanos) {
    private static final Duration MINIMUM_QUEUE_WAIT = Duration.ofMillis(60);
    private static final Duration TIME_TO_FIRST_EVENT = Duration.ofMillis(220);
    private static final double LOADING_WAIT_SHARE = 0.3;

    /** The return to an upstream is gradual, so the requests that wait for it leave the queue one after the other. */
    private static final Duration WAIT_AFTER_RETURN = Duration.ofMillis(500);

    /**
     * Derives the points in time from the caller's remaining time and the route.
     *
     * <p>A caller that retries has less remaining time than the timeout of the route. The difference is the time since
     * its first attempt, from which the target latency counts.
     */
    static RequestDeadlines of(CallerRequest request, Route route) {
        return of(request, route, PromptSizePolicy.NONE);
    }

    /** Derives the points in time like {@link #of(CallerRequest, Route)}, with regard to the size of the prompt. */
    static RequestDeadlines of(CallerRequest request, Route route, PromptSizePolicy promptSizes) {
        Duration remaining = request.metadata()
                .remainingTime()
                .filter(time -> time.compareTo(route.timeout()) < 0)
                .orElse(route.timeout());
        Duration spent = route.timeout().minus(remaining);
        long arrived = request.arrivedNanos();
        long onTime = arrived - spent.toNanos() + route.targetLatency().toNanos();
        long deadline = arrived + remaining.toNanos();
        Optional<PromptShape> prompt = request.metadata().prompt();
        if (prompt.isEmpty()) {
            return new RequestDeadlines(arrived, onTime, deadline, TIME_TO_FIRST_EVENT, arrived);
        }
        Duration slotWaitMargin = promptSizes.slotWaitMargin(prompt.get(), TIME_TO_FIRST_EVENT);
        long waitEnd = slotWaitEndNanos(arrived, onTime, deadline, slotWaitMargin);
        long queueOrder = promptSizes.queueOrderNanos(arrived, waitEnd);
        return new RequestDeadlines(arrived, onTime, deadline, slotWaitMargin, queueOrder);
    }

    /** Returns when to stop waiting for a free slot, in nanoseconds: when the response can no longer start on time. */
    long slotWaitEndNanos() {
        return slotWaitEndNanos(arrivedNanos, onTimeNanos, deadlineNanos, slotWaitMargin);
    }

    private static long slotWaitEndNanos(
            long arrivedNanos, long onTimeNanos, long deadlineNanos, Duration slotWaitMargin) {
        long onTimeWaitEnd =
                Math.max(arrivedNanos + MINIMUM_QUEUE_WAIT.toNanos(), onTimeNanos - slotWaitMargin.toNanos());
        return Math.min(deadlineNanos, onTimeWaitEnd);
    }

    /**
     * Returns when to stop waiting for an upstream that wants no requests before a time, in nanoseconds. A response that
     * is late is better than none, if it can be there before the deadline.
     */
    long pauseWaitEndNanos(long returnNanos) {
        long latest = deadlineNanos - TIME_TO_FIRST_EVENT.toNanos();
        return Math.min(latest, Math.max(slotWaitEndNanos(), returnNanos + WAIT_AFTER_RETURN.toNanos()));
    }

    /** Returns when to stop waiting for engines that are about to be ready, in nanoseconds. */
    long engineWaitEndNanos() {
        return arrivedNanos + (long) ((deadlineNanos - arrivedNanos) * LOADING_WAIT_SHARE);
    }

    /** Whether the response can no longer start within the target latency. */
    boolean isLate(long nowNanos) {
        return nowNanos - onTimeNanos >= 0;
    }

    /** Returns the deadline, in nanoseconds. */
    long endNanos() {
        return deadlineNanos;
    }

    /** The remaining time until the deadline, zero once it has passed. */
    Duration remaining(long nowNanos) {
        return Duration.ofNanos(Math.max(0, deadlineNanos - nowNanos));
    }
}

package org.galenahinge.gateway;

import java.time.Duration;
import org.galenahinge.catalog.Route;

/**
 * The times that bound one request, in nanoseconds of the steady clock.
 *
 * @param arrivedNanos when it arrived
 * @param onTimeNanos until when its answer can begin on time, counted from the caller's first try
 * @param limitNanos when it must have its final answer
 */
record CallTimes(long arrivedNanos, long onTimeNanos, long limitNanos) {
    private static final Duration LEAST_WAIT = Duration.ofMillis(60);
    private static final Duration FIRST_EVENT_TAKES = Duration.ofMillis(220);
    private static final double COMING_WAIT_SHARE = 0.3;

    /** A caller that comes back has less time left than its route gives: it counts from its first try. */
    static CallTimes of(Call call, Route route) {
        Duration limit = call.head()
                .timeLeft()
                .filter(left -> left.compareTo(route.timeout()) < 0)
                .orElse(route.timeout());
        Duration spent = route.timeout().minus(limit);
        long arrived = call.arrivedNanos();
        long onTime = arrived - spent.toNanos() + route.targetLatency().toNanos();
        return new CallTimes(arrived, onTime, arrived + limit.toNanos());
    }

    /** Until when to wait for a place: as long as the answer can still begin on time afterwards. */
    long waitForPlaceUntil() {
        long until = Math.max(arrivedNanos + LEAST_WAIT.toNanos(), onTimeNanos - FIRST_EVENT_TAKES.toNanos());
        return Math.min(limitNanos, until);
    }

    /** Until when to wait for engines that are about to be ready. */
    long waitForEnginesUntil() {
        return arrivedNanos + (long) ((limitNanos - arrivedNanos) * COMING_WAIT_SHARE);
    }

    boolean isLate(long nowNanos) {
        return nowNanos - onTimeNanos >= 0;
    }

    Duration left(long nowNanos) {
        return Duration.ofNanos(Math.max(0, limitNanos - nowNanos));
    }
}

package org.galenahinge.gateway;

import java.time.Duration;

/** Computes the Retry-After time of rejected requests. */
final class RetryAfterPolicy {
    private static final Duration MINIMUM_WHEN_FULL = Duration.ofMillis(400);

    /** Retries are spread from the minimum to three times the minimum. */
    private static final double SPREAD_FACTOR = 2;

    /** Callers wait at most this share of their remaining time before they retry and would ignore a longer time. */
    private static final double MAXIMUM_SHARE = 1.0 / 3;

    private static final double MINIMUM_OF_MAXIMUM_SHARE = 0.75;

    private static final double PAUSE_SPREAD_SHARE = 0.25;
    private static final Duration MAXIMUM_PAUSE_SPREAD = Duration.ofSeconds(1);

    private RetryAfterPolicy() {}

    /** Slots become free all the time, so callers retry soon, spread over time so that they find free slots. */
    static Duration whenFull(double random) {
        return Duration.ofMillis((long) (MINIMUM_WHEN_FULL.toMillis() * (1 + SPREAD_FACTOR * random)));
    }

    /** An outage lasts for seconds, so a caller with one retry is most likely to succeed late in its remaining time. */
    static Duration afterOutage(Duration remainingTime, double random) {
        double share = MAXIMUM_SHARE * (MINIMUM_OF_MAXIMUM_SHARE + (1 - MINIMUM_OF_MAXIMUM_SHARE) * random);
        return Duration.ofMillis((long) (remainingTime.toMillis() * share));
    }

    /** Upstreams have said when they want requests again: callers retry a little later than the first of them does. */
    static Duration afterPause(Duration untilReturn, double random) {
        double spread = Math.min(MAXIMUM_PAUSE_SPREAD.toMillis(), PAUSE_SPREAD_SHARE * untilReturn.toMillis());
        return untilReturn.plusMillis((long) (spread * random));
    }
}

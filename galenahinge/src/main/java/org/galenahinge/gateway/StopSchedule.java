package org.galenahinge.gateway;

import java.time.Duration;

/**
 * The limits on what a stopping entry still takes and still runs, in nanoseconds of the process's clock.
 *
 * <p>Callers learn within moments that the entry stops, so that it takes all requests at first. Afterwards it takes only
 * those that end before it does, whatever their upstream does. What is left at its end gets a response, and slow callers
 * get time to read theirs.
 *
 * @param lastArrivalNanos until when all requests are taken
 * @param endNanos when the requests that are left are ended
 * @param exitNanos when the process exits even if callers have not taken all responses
 */
public record StopSchedule(long lastArrivalNanos, long endNanos, long exitNanos) {
    /** Time in which callers learn that the entry stops, and in which it takes all requests. */
    private static final Duration MAXIMUM_ARRIVAL_TIME = Duration.ofMillis(2_500);

    private static final int ARRIVAL_TIME_DIVISOR = 2;

    /** Time from the end of the requests until the process is killed. */
    private static final Duration MAXIMUM_CLOSING_TIME = Duration.ofMillis(1_200);

    /** The same as a share of the time to stop. Requests that still run must not be ended before its last sixth. */
    private static final double CLOSING_TIME_SHARE = 0.15;

    /** The share of the closing time in which the last responses reach their callers; the process exits in the rest. */
    private static final double DELIVERY_TIME_SHARE = 0.6;

    /**
     * Creates the schedule of a stop that begins.
     *
     * @param nowNanos the time
     * @param stopTimeout the time until the process is killed
     * @return the schedule
     */
    public static StopSchedule beginningAt(long nowNanos, Duration stopTimeout) {
        Duration closing = shorter(MAXIMUM_CLOSING_TIME, share(stopTimeout, CLOSING_TIME_SHARE));
        Duration running = stopTimeout.minus(closing);
        Duration arrivals = shorter(MAXIMUM_ARRIVAL_TIME, running.dividedBy(ARRIVAL_TIME_DIVISOR));
        long endNanos = nowNanos + running.toNanos();
        return new StopSchedule(
                nowNanos + arrivals.toNanos(),
                endNanos,
                endNanos + share(closing, DELIVERY_TIME_SHARE).toNanos());
    }

    /** Returns whether a request may begin. */
    boolean mayBegin(long nowNanos, long deadlineNanos) {
        return nowNanos - lastArrivalNanos < 0 || deadlineNanos - endNanos <= 0;
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }

    private static Duration share(Duration whole, double share) {
        return Duration.ofNanos((long) (whole.toNanos() * share));
    }
}

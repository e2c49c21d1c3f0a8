package org.galenahinge.gateway;

import java.time.Duration;

/**
 * The limits on what a stopping entry still takes and still runs, in nanoseconds of the process's clock.
 *
 * <p>Callers learn within moments that the entry stops, so that it takes all requests at first. Afterwards it takes only
 * those that end before it does, whatever their upstream does. What is left at its end gets a response.
 *
 * @param lastArrivalNanos until when all requests are taken
 * @param endNanos when the requests that are left are ended
 */
public record StopSchedule(long lastArrivalNanos, long endNanos) {
    /** Time in which callers learn that the entry stops, and in which it takes all requests. */
    private static final Duration MAXIMUM_ARRIVAL_TIME = Duration.ofMillis(2_500);

    /** Time for the last responses to reach their callers, and for the process to exit. */
    private static final Duration MAXIMUM_EXIT_TIME = Duration.ofMillis(1_200);

    /** A short time to stop is divided in proportion. */
    private static final int EXIT_TIME_DIVISOR = 4;

    private static final int ARRIVAL_TIME_DIVISOR = 2;

    /**
     * Creates the schedule of a stop that begins.
     *
     * @param nowNanos the time
     * @param stopTimeout the time until the process is killed
     * @return the schedule
     */
    public static StopSchedule beginningAt(long nowNanos, Duration stopTimeout) {
        Duration exit = shorter(MAXIMUM_EXIT_TIME, stopTimeout.dividedBy(EXIT_TIME_DIVISOR));
        Duration running = stopTimeout.minus(exit);
        Duration arrivals = shorter(MAXIMUM_ARRIVAL_TIME, running.dividedBy(ARRIVAL_TIME_DIVISOR));
        return new StopSchedule(nowNanos + arrivals.toNanos(), nowNanos + running.toNanos());
    }

    /** Returns whether a request may begin. */
    boolean mayBegin(long nowNanos, long deadlineNanos) {
        return nowNanos - lastArrivalNanos < 0 || deadlineNanos - endNanos <= 0;
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }
}

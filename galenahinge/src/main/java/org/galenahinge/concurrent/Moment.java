package org.galenahinge.concurrent;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * A moment by two clocks. The monotonic clock may not count while the VM is suspended; the time of day may be set
 * forward or back.
 *
 * @param nanos the monotonic time, in nanoseconds since an arbitrary point in time
 * @param timeOfDay the time of day
 */
public record Moment(long nanos, Instant timeOfDay) {
    /** Clocks that differ by no more than this since an earlier moment agree: they run at slightly different rates. */
    private static final Duration CLOCK_TOLERANCE = Duration.ofMillis(250);

    /**
     * Creates a moment.
     *
     * @param nanos the monotonic time, in nanoseconds since an arbitrary point in time
     * @param timeOfDay the time of day
     */
    public Moment {
        Objects.requireNonNull(timeOfDay, "timeOfDay");
    }

    /**
     * Returns the present moment.
     *
     * @param timers the clocks
     * @return the moment
     */
    public static Moment now(Timers timers) {
        return new Moment(timers.nanoTime(), timers.timeOfDay());
    }

    /**
     * Tells whether at most the given time has passed since an earlier moment, by both clocks. If the time of day was set
     * back meanwhile to before that moment, nothing is known of the time that passed, so that the answer is no.
     *
     * @param limit the maximum time
     * @param earlier the earlier moment of the same process
     * @return whether no clock says otherwise
     */
    public boolean isWithin(Duration limit, Moment earlier) {
        Duration byTimeOfDay = Duration.between(earlier.timeOfDay, timeOfDay);
        return nanos - earlier.nanos <= limit.toNanos()
                && !byTimeOfDay.isNegative()
                && byTimeOfDay.compareTo(limit) <= 0;
    }

    /**
     * Returns the time since an earlier moment that the monotonic clock has not counted: the VM was suspended for it, or the
     * time of day was set forward.
     *
     * @param earlier the earlier moment of the same process
     * @return the time, negative if the time of day was set back
     */
    public Duration uncountedSince(Moment earlier) {
        return Duration.between(earlier.timeOfDay, timeOfDay).minusNanos(nanos - earlier.nanos);
    }

    /**
     * Tells whether both clocks have counted the same time since an earlier moment, so that the VM was not suspended.
     *
     * @param earlier the earlier moment of the same process
     * @return whether they differ by no more than a tolerance
     */
    public boolean clocksAgreeSince(Moment earlier) {
        return uncountedSince(earlier).abs().compareTo(CLOCK_TOLERANCE) <= 0;
    }
}

package org.galenahinge.concurrent;

import java.time.Duration;
import java.time.Instant;

/** Clock and timers of one thread. Tests use an implementation whose time they advance explicitly. */
public interface Timers {
    /**
     * Returns the monotonic time.
     *
     * @return nanoseconds since an arbitrary point in time
     */
    long nanoTime();

    /**
     * Returns the time of day, which counts while the VM is suspended, but may be set forward or back at any moment.
     *
     * @return the time of day, in whole milliseconds
     */
    Instant timeOfDay();

    /**
     * Runs an action after a delay, on the thread that the timers belong to.
     *
     * @param delay the delay
     * @param action the action, which must not block
     * @return the timer, which can be cancelled
     */
    Timer schedule(Duration delay, Runnable action);

    /** A scheduled action. */
    @FunctionalInterface
    interface Timer {
        /** Cancels the action; has no effect once it has run. */
        void cancel();
    }
}

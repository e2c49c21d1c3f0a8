package org.galenahinge.concurrent;

import java.time.Duration;

/** The clock and the timers of one thread. Tests drive them by hand. */
public interface Timers {
    /**
     * Returns the steady time.
     *
     * @return nanoseconds from an arbitrary point
     */
    long nanoTime();

    /**
     * Runs an action later, on the thread that the timers belong to.
     *
     * @param delay how much later
     * @param action what to run; must not block
     * @return the timer
     */
    Timer schedule(Duration delay, Runnable action);

    /** A timer that has been set. */
    @FunctionalInterface
    interface Timer {
        /** Takes the timer back; does nothing when it has run. */
        void cancel();
    }
}

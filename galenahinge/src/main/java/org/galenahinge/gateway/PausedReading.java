package org.galenahinge.gateway;

import java.time.Duration;
import java.util.Objects;
import org.galenahinge.concurrent.Timers;

/** When a response is not read from its upstream, because its caller does not read. */
final class PausedReading {
    /** An upstream closes a response that stays unread for some seconds. */
    private static final Duration TIME_BEFORE_CLOSE = Duration.ofSeconds(1);

    private final Timers timers;
    private long begunNanos;
    private boolean paused;
    private boolean wasLong;

    PausedReading(Timers timers) {
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /** Records that the response is no longer read. */
    void begin() {
        if (!paused) {
            paused = true;
            begunNanos = timers.nanoTime();
        }
    }

    /** Records that the response is read again; returns whether it was not before. */
    boolean end() {
        boolean wasPaused = paused;
        wasLong |= isLong();
        paused = false;
        return wasPaused;
    }

    boolean isPaused() {
        return paused;
    }

    /** Whether the upstream may have closed the connection because the response was not read for long. */
    boolean mayExplainALoss() {
        return wasLong || isLong();
    }

    private boolean isLong() {
        return paused && timers.nanoTime() - begunNanos >= TIME_BEFORE_CLOSE.toNanos();
    }
}

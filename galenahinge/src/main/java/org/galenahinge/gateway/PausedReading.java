package org.galenahinge.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.OptionalLong;
import org.galenahinge.concurrent.Timers;

/** When a response is not read from its upstream, because its caller does not read. */
final class PausedReading {
    /** Shorter than the time after which upstreams close an unread response, so that such a close is taken for no crash. */
    private static final Duration TIME_BEFORE_CLOSE = Duration.ofSeconds(1);

    /** What the upstream sent before it closed the connection is read first, once the caller reads again. */
    private static final Duration TIME_TO_NOTICE_CLOSE = Duration.ofSeconds(1);

    private final Timers timers;
    private long begunNanos;
    private boolean paused;
    private OptionalLong longPauseEndNanos = OptionalLong.empty();

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
        if (isLong()) {
            longPauseEndNanos = OptionalLong.of(timers.nanoTime());
        }
        paused = false;
        return wasPaused;
    }

    boolean isPaused() {
        return paused;
    }

    /** Whether the upstream may have closed the connection because the response was not read for long. */
    boolean mayHaveCausedClose() {
        return isLong() || endedLately();
    }

    private boolean endedLately() {
        return longPauseEndNanos.isPresent()
                && timers.nanoTime() - longPauseEndNanos.getAsLong() < TIME_TO_NOTICE_CLOSE.toNanos();
    }

    private boolean isLong() {
        return paused && timers.nanoTime() - begunNanos >= TIME_BEFORE_CLOSE.toNanos();
    }
}

package org.galenahinge.concurrent;

import java.time.Duration;
import java.util.Objects;

/**
 * Notices time that the monotonic clock has not counted, most likely because the VM was suspended. The time of day may also
 * have been set forward, so that time counts only for a while, until other nodes have told better. Belongs to one thread.
 */
public final class SuspensionWatch {
    private final Timers timers;
    private final Duration retention;
    private Moment observed;
    private Duration uncounted = Duration.ZERO;
    private long noticedNanos;

    private SuspensionWatch(Timers timers, Duration retention) {
        this.timers = timers;
        this.retention = retention;
        this.observed = Moment.now(timers);
    }

    /**
     * Creates a watch.
     *
     * @param timers the clocks
     * @param retention how long time that was not counted is added to ages
     * @return the watch
     */
    public static SuspensionWatch create(Timers timers, Duration retention) {
        return new SuspensionWatch(
                Objects.requireNonNull(timers, "timers"), Objects.requireNonNull(retention, "retention"));
    }

    /** Compares the clocks. Call it often, and before anything is used that may have happened since the last call. */
    public void observe() {
        Moment now = Moment.now(timers);
        if (!now.clocksAgreeSince(observed)) {
            uncounted = retained(now.nanos()).plus(now.uncountedSince(observed));
            noticedNanos = now.nanos();
        }
        observed = now;
    }

    /**
     * Returns the longest time that may have passed since something happened.
     *
     * @param age the time since then by the monotonic clock
     * @return the time, which includes time that was not counted, if it happened before that was noticed
     */
    public Duration longestAge(Duration age) {
        long now = timers.nanoTime();
        boolean happenedBefore = age.toNanos() >= now - noticedNanos;
        return happenedBefore ? age.plus(retained(now)) : age;
    }

    /** Returns the time that was not counted; a time of day that was set back takes away from it. */
    private Duration retained(long nowNanos) {
        boolean isRetained = nowNanos - noticedNanos < retention.toNanos();
        return isRetained && !uncounted.isNegative() ? uncounted : Duration.ZERO;
    }
}

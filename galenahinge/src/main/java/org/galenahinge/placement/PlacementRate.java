package org.galenahinge.placement;

import java.time.Duration;

/**
 * Counts how many requests of a service this node has placed within the last second. From this rate it tells whether a
 * request that would join the queue now could be placed in time. Not thread-safe: all calls come from one thread.
 */
public final class PlacementRate {
    private static final int SLICES = 10;
    private static final long SLICE_NANOS = Duration.ofMillis(100).toNanos();
    private static final double WINDOW_SECONDS = 1;

    /** The rate may be low because there was little to place, so only what is far beyond it counts as hopeless. */
    private static final double RATE_MARGIN = 3;

    /** Requests that may wait whatever the rate, for example before the first one was placed. */
    private static final int ALWAYS_ADMITTED = 4;

    private final int[] placed = new int[SLICES];
    private long slice;

    /**
     * Creates a rate without placed requests.
     *
     * @param nowNanos the time, in nanoseconds
     */
    public PlacementRate(long nowNanos) {
        this.slice = Math.floorDiv(nowNanos, SLICE_NANOS);
    }

    /**
     * Counts a placed request.
     *
     * @param nowNanos the time, in nanoseconds
     */
    public void recordPlaced(long nowNanos) {
        advance(nowNanos);
        placed[indexOf(slice)]++;
    }

    /**
     * Returns whether a request that joins the queue now can be expected to leave it in time. If not, it is better
     * rejected at once than when its time is over.
     *
     * @param ahead number of requests that leave the queue before it
     * @param maximumWait how long it can wait
     * @param nowNanos the time, in nanoseconds
     * @return false if far more requests are ahead than are placed in that time
     */
    public boolean canPlaceInTime(int ahead, Duration maximumWait, long nowNanos) {
        if (ahead < ALWAYS_ADMITTED) {
            return true;
        }
        advance(nowNanos);
        int total = 0;
        for (int count : placed) {
            total += count;
        }
        double expected = total
                / WINDOW_SECONDS
                * maximumWait.toMillis()
                / Duration.ofSeconds(1).toMillis();
        return ahead < expected * RATE_MARGIN;
    }

    private void advance(long nowNanos) {
        long now = Math.floorDiv(nowNanos, SLICE_NANOS);
        for (long next = Math.max(slice + 1, now - SLICES + 1); next <= now; next++) {
            placed[indexOf(next)] = 0;
        }
        slice = Math.max(slice, now);
    }

    private static int indexOf(long slice) {
        return Math.floorMod(slice, SLICES);
    }
}

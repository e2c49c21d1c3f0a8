package org.galenahinge.gateway;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.galenahinge.concurrent.Timers;

/**
 * The budget of an entry for bytes that the peers of its connections have not read: responses at callers and requests at
 * upstreams. Above half of it, connections that hold unread bytes take no more. Above 7/8 of it, those with the most are
 * closed until at most 3/4 is left. Not thread-safe.
 */
final class BufferBudget {
    /** The heap is the limit of buffers outside of it, too. A buffer may take several times the bytes that it holds. */
    private static final int HEAP_DIVISOR = 4;

    private static final double BACKPRESSURE_SHARE = 0.5;

    /** Less than the budget by more than is written between two counts, so that it is not exceeded. */
    private static final double CLOSING_SHARE = 0.875;

    /** Less than the share at which connections are closed, so that connections are not closed one by one while others fill up. */
    private static final double SHARE_AFTER_CLOSING = 0.75;

    /** Connections are counted again after this share of the budget was written, or after an interval. */
    private static final double REVIEW_SHARE = 1.0 / 16;

    private static final Duration REVIEW_INTERVAL = Duration.ofMillis(100);

    private final long maximumBytes;
    private final Timers timers;
    private final Set<Holder> holders = new LinkedHashSet<>();
    private long writtenBytes;
    private boolean backpressure;
    private boolean reviewScheduled;
    private boolean reviewNow;

    /** A connection that holds bytes which its peer has not read. */
    interface Holder {
        /** Returns how many bytes were written to the connection and not given to the network. */
        long unreadBytes();

        /** Closes the connection, because it holds more unread bytes than others while the budget is exceeded. */
        void closeForBudget();

        /** Goes on where the connection held back because of this budget, as far as it may. */
        void resume();
    }

    private BufferBudget(long maximumBytes, Timers timers) {
        this.maximumBytes = maximumBytes;
        this.timers = timers;
    }

    /**
     * Creates a budget.
     *
     * @param maximumHeapBytes the maximum size of the heap, in bytes
     * @param timers the clock
     */
    static BufferBudget ofHeap(long maximumHeapBytes, Timers timers) {
        return new BufferBudget(maximumHeapBytes / HEAP_DIVISOR, Objects.requireNonNull(timers, "timers"));
    }

    /** Adds a connection. */
    void add(Holder holder) {
        holders.add(holder);
    }

    /** Removes a connection that is closed, or holds no bytes any more. */
    void remove(Holder holder) {
        holders.remove(holder);
    }

    /** Returns the size of the budget, in bytes. */
    long maximumBytes() {
        return maximumBytes;
    }

    /** Returns how many bytes the peers of all connections have not read. */
    long unreadBytes() {
        return holders.stream().mapToLong(Holder::unreadBytes).sum();
    }

    /** Whether connections that hold unread bytes must take no more. */
    boolean isUnderPressure() {
        return backpressure;
    }

    /** Records bytes that were written to a connection. What follows from them happens in a later turn of the thread. */
    void recordWritten(long bytes) {
        writtenBytes += bytes;
        if (writtenBytes >= maximumBytes * REVIEW_SHARE && !reviewNow) {
            reviewNow = true;
            timers.schedule(Duration.ZERO, () -> {
                reviewNow = false;
                review();
            });
        }
    }

    private void review() {
        writtenBytes = 0;
        Map<Holder, Long> unread = new LinkedHashMap<>();
        List.copyOf(holders).forEach(holder -> unread.put(holder, holder.unreadBytes()));
        long total = unread.values().stream().mapToLong(Long::longValue).sum();
        if (total > maximumBytes * CLOSING_SHARE) {
            total = closeLargest(unread, total);
        }
        boolean wasUnderPressure = backpressure;
        backpressure = total > maximumBytes * BACKPRESSURE_SHARE;
        if (backpressure || wasUnderPressure) {
            List.copyOf(holders).forEach(Holder::resume);
        }
        if (backpressure) {
            scheduleReview();
        }
    }

    /** Returns how many bytes are left. */
    private long closeLargest(Map<Holder, Long> unread, long total) {
        List<Map.Entry<Holder, Long>> largestFirst = unread.entrySet().stream()
                .sorted(Map.Entry.comparingByValue(Comparator.reverseOrder()))
                .toList();
        long left = total;
        for (Map.Entry<Holder, Long> entry : largestFirst) {
            if (left <= maximumBytes * SHARE_AFTER_CLOSING) {
                break;
            }
            left -= entry.getValue();
            if (holders.contains(entry.getKey())) {
                entry.getKey().closeForBudget();
            }
        }
        return left;
    }

    private void scheduleReview() {
        if (reviewScheduled) {
            return;
        }
        reviewScheduled = true;
        timers.schedule(REVIEW_INTERVAL, () -> {
            reviewScheduled = false;
            review();
        });
    }
}

package org.galenahinge.facts;

import java.util.Comparator;

/**
 * A point in the history of the store. The store may be restored from an older copy of itself: its epoch rises then, and
 * it gives out again the revisions that it had given out since the copy was made.
 *
 * @param epoch how often the store has been restored, counted from any number
 * @param revision the store's revision, above 0; 0 before anything was read
 */
public record StorePosition(long epoch, long revision) implements Comparable<StorePosition> {
    /** The position before anything was read. */
    public static final StorePosition NONE = new StorePosition(0, 0);

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::epoch).thenComparingLong(StorePosition::revision);

    /**
     * Tells whether anything was read.
     *
     * @return whether this is a position of the store
     */
    public boolean isKnown() {
        return revision > 0;
    }

    @Override
    public int compareTo(StorePosition other) {
        return ORDER.compare(this, other);
    }

    /** Returns the epoch and the revision, for logs. */
    @Override
    public String toString() {
        return epoch + ":" + revision;
    }
}

package org.galenahinge.facts;

import java.util.Objects;

/**
 * How far a reader has read.
 *
 * @param position the position of the store up to which the reader knows all changes
 * @param logId identifies the {@link FactLog} that was read last, 0 for none
 * @param sequence the last change of that log that the reader knows
 */
public record FactCursor(StorePosition position, long logId, long sequence) {
    /** The cursor of a reader that knows nothing. */
    public static final FactCursor START = new FactCursor(StorePosition.NONE, 0, 0);

    /** Rejects a missing position. */
    public FactCursor {
        Objects.requireNonNull(position, "position");
    }

    /**
     * Returns the cursor of a reader of the store.
     *
     * @param position the position up to which it knows all changes
     * @return the cursor
     */
    public static FactCursor at(StorePosition position) {
        return new FactCursor(position, 0, 0);
    }
}

package org.galenahinge.facts;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** Reads the published items: from the store itself, or from another node that passes them on. */
public interface FactStore {
    /**
     * Reads what changed after a revision, and waits for a change where there is none yet.
     *
     * @param after the revision held, 0 for none: then all items are read
     * @param wait how long to wait for a change
     * @return the answer, or a {@link FactReadException}
     */
    CompletionStage<Reading> read(long after, Duration wait);

    /**
     * Returns the name for log lines.
     *
     * @return the name
     */
    String name();

    /**
     * An answer.
     *
     * @param items the changes, or all items
     * @param whole whether these are all items
     * @param revision the revision up to which they are complete
     * @param age how old the answer was when it was given; zero for the store itself
     */
    record Reading(List<FactItem> items, boolean whole, long revision, Duration age) {
        /** Copies the items. */
        public Reading {
            items = List.copyOf(items);
        }
    }
}

package org.galenahinge.facts;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** Reads the published items, either from the store itself or from another node that relays them. */
public interface FactSource {
    /**
     * Reads the changes after a revision. If there are none yet, waits for a change.
     *
     * @param after the revision up to which the reader is complete; 0 reads a snapshot of all items
     * @param wait the maximum time to wait for a change
     * @return the result; fails with a {@link FactReadException}
     */
    CompletionStage<ReadResult> read(long after, Duration wait);

    /**
     * Returns the name for log lines.
     *
     * @return the name
     */
    String name();

    /**
     * The result of a read.
     *
     * @param items the changes, or all items of a snapshot
     * @param snapshot whether these are all items
     * @param revision the revision up to which they are complete
     * @param age the age of the items when the source sent them; zero for the store itself
     */
    record ReadResult(List<FactItem> items, boolean snapshot, long revision, Duration age) {
        /** Copies the items. */
        public ReadResult {
            items = List.copyOf(items);
        }
    }
}

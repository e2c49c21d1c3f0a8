package org.galenahinge.facts;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.galenahinge.http.ResponseObserver;

/** Reads the published items, either from the store itself or from another node that relays them. */
public interface FactSource {
    /**
     * Reads the changes that the reader does not know. If there are none yet, waits for a change.
     *
     * @param after how far the reader has read; {@link FactCursor#START} reads a snapshot of all items
     * @param wait the maximum time to wait for a change
     * @param observer observes how the response comes in
     * @return the result; fails with a {@link FactReadException}
     */
    CompletionStage<ReadResult> read(FactCursor after, Duration wait, ResponseObserver observer);

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
     * @param cursor how far the reader has read with them
     * @param age the age of the items when the source sent them; zero for the store itself
     * @param arriving whether newer facts were on their way to the source
     */
    record ReadResult(List<FactItem> items, boolean snapshot, FactCursor cursor, Duration age, boolean arriving) {
        /** Copies the items. */
        public ReadResult {
            items = List.copyOf(items);
        }

        /**
         * Creates the result of a source to which nothing is on its way.
         *
         * @param items the changes, or all items of a snapshot
         * @param snapshot whether these are all items
         * @param cursor how far the reader has read with them
         * @param age the age of the items when the source sent them
         */
        public ReadResult(List<FactItem> items, boolean snapshot, FactCursor cursor, Duration age) {
            this(items, snapshot, cursor, age, false);
        }
    }
}

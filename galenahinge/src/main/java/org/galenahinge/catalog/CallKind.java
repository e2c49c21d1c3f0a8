package org.galenahinge.catalog;

/** Says what may be repeated on a route. The route's kind is the only source of that. */
public enum CallKind {
    /** May run any number of times. */
    IDEMPOTENT,
    /** May run at most once for each request id. */
    NON_IDEMPOTENT,
    /** Answers with a stream of events that another upstream must not continue. */
    STREAM,
    /** Answers with a stream of events that another upstream may continue after the last event delivered. */
    RESUMABLE_STREAM;

    /**
     * Tells whether a request that may have run may be sent again.
     *
     * @return whether a repeat is harmless
     */
    public boolean isRepeatable() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }

    /**
     * Tells whether the answer is a stream of events.
     *
     * @return whether events are passed on one by one
     */
    public boolean isStream() {
        return this == STREAM || this == RESUMABLE_STREAM;
    }
}

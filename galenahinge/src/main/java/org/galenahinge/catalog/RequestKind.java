package org.galenahinge.catalog;

/** Whether requests of a route may be retried, and whether its responses are streams. No other setting decides that. */
public enum RequestKind {
    /** A request may run any number of times. */
    IDEMPOTENT,
    /** A request may run at most once for each request id. */
    NON_IDEMPOTENT,
    /** The response is a stream of events that no other upstream may continue. */
    STREAM,
    /** The response is a stream of events that another upstream may continue after the last delivered event. */
    RESUMABLE_STREAM;

    /**
     * Tells whether a request may be retried although an earlier attempt may have run.
     *
     * @return whether a second run is harmless
     */
    public boolean isIdempotent() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }

    /**
     * Tells whether the response is a stream of events.
     *
     * @return whether events are forwarded one by one
     */
    public boolean isStream() {
        return this == STREAM || this == RESUMABLE_STREAM;
    }
}

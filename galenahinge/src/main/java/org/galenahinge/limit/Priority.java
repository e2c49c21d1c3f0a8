package org.galenahinge.limit;

import java.time.Duration;

/** The priority of a request. Requests of an earlier constant start first. */
public enum Priority {
    /** A person waits for the response. */
    INTERACTIVE(0, Duration.ofMillis(600)),
    /** Nobody waits for the response. */
    BATCH(1, Duration.ofSeconds(20));

    private final int code;
    private final Duration maximumWait;

    Priority(int code, Duration maximumWait) {
        this.code = code;
        this.maximumWait = maximumWait;
    }

    /**
     * Returns the number of this priority on the wire and in requests to upstreams; smaller numbers start first.
     *
     * @return the number
     */
    public int code() {
        return code;
    }

    /**
     * Returns how long a request of this priority may wait for its upstream before it is rejected.
     *
     * @return the duration
     */
    public Duration maximumWait() {
        return maximumWait;
    }
}

package org.galenahinge.limit;

import java.time.Duration;

/** The class of a call. Earlier classes go first. */
public enum Priority {
    /** A person waits for it. */
    INTERACTIVE(0, Duration.ofMillis(600)),
    /** Nobody waits for it. */
    BATCH(1, Duration.ofSeconds(20));

    private final int code;
    private final Duration longestWait;

    Priority(int code, Duration longestWait) {
        this.code = code;
        this.longestWait = longestWait;
    }

    /**
     * Returns the number that stands for this class on the wire and towards upstreams; the smallest goes first.
     *
     * @return the number
     */
    public int code() {
        return code;
    }

    /**
     * Returns how long a call of this class may wait for its upstream before it is refused.
     *
     * @return the time
     */
    public Duration longestWait() {
        return longestWait;
    }
}

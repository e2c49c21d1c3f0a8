package org.galenahinge.catalog;

import java.time.Duration;
import java.util.Objects;

/**
 * What callers may send, and how long they may take.
 *
 * @param headerBytes the largest request head, in bytes
 * @param bodyBytes the largest request body, in bytes
 * @param headerTimeout how long a request head may take to arrive
 * @param idleTimeout how long a connection may stay idle
 */
public record CallerLimits(int headerBytes, long bodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** What holds until the operators' limits are known. */
    public static final CallerLimits INITIAL =
            new CallerLimits(16 << 10, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Checks the parts. */
    public CallerLimits {
        Objects.requireNonNull(headerTimeout, "headerTimeout");
        Objects.requireNonNull(idleTimeout, "idleTimeout");
        if (headerBytes < 1 || bodyBytes < 0) {
            throw new IllegalArgumentException("limits must be positive: " + headerBytes + ", " + bodyBytes);
        }
    }
}

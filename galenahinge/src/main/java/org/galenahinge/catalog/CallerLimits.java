package org.galenahinge.catalog;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maximumHeaderBytes the maximum size of a request head, in bytes
 * @param maximumBodyBytes the maximum size of a request body, in bytes
 * @param headerTimeout the maximum time for a request head to arrive
 * @param idleTimeout the maximum time that a connection may stay idle
 */
public record CallerLimits(
        int maximumHeaderBytes, long maximumBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Limits in force until the operators' configuration has been read. */
    public static final CallerLimits INITIAL =
            new CallerLimits(16 << 10, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Rejects limits below 1 byte of header or 0 bytes of body. */
    public CallerLimits {
        Objects.requireNonNull(headerTimeout, "headerTimeout");
        Objects.requireNonNull(idleTimeout, "idleTimeout");
        if (maximumHeaderBytes < 1 || maximumBodyBytes < 0) {
            throw new IllegalArgumentException("maximumHeaderBytes must be at least 1 and maximumBodyBytes at least 0: "
                    + maximumHeaderBytes + ", " + maximumBodyBytes);
        }
    }
}

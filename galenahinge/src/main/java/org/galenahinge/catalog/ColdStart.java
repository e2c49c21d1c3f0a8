package org.galenahinge.catalog;

import java.time.Duration;
import java.util.Objects;

/**
 * How the upstreams of a service warm up.
 *
 * @param duration how long an upstream is cold after its start
 * @param requestsPerSecond the requests a second that a cold upstream tolerates from all clients together
 */
public record ColdStart(Duration duration, double requestsPerSecond) {
    /** No upstream is cold for longer at a time. */
    public static final Duration MAXIMUM_DURATION = Duration.ofDays(1);

    /** Rejects values that are not positive. */
    public ColdStart {
        Objects.requireNonNull(duration, "duration");
        boolean isRate = requestsPerSecond > 0 && !Double.isInfinite(requestsPerSecond);
        if (!isRate || duration.isNegative() || duration.isZero()) {
            throw new IllegalArgumentException(
                    "duration and rate must be positive: " + duration + ", " + requestsPerSecond);
        }
    }
}

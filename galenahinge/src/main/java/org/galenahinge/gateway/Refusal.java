package org.galenahinge.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * An answer that the system gives by itself.
 *
 * @param status the status code
 * @param reason one word for the log
 * @param detail one line for the caller
 * @param retryAfter when to come back, where that makes sense
 */
record Refusal(int status, String reason, String detail, Optional<Duration> retryAfter) {
    Refusal {
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(detail, "detail");
        Objects.requireNonNull(retryAfter, "retryAfter");
    }

    static Refusal of(int status, String reason, String detail) {
        return new Refusal(status, reason, detail, Optional.empty());
    }

    /** The request has not run and never will. */
    static Refusal notRun(String reason, String detail, Duration retryAfter) {
        return new Refusal(503, reason, detail, Optional.of(retryAfter));
    }

    static Refusal mayHaveRun(String reason, String detail) {
        return of(502, reason, detail);
    }

    static Refusal outOfTime(String detail) {
        return of(504, "timeout", detail);
    }
}

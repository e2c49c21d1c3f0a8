package org.galenahinge.placement;

import java.util.Objects;
import org.galenahinge.catalog.RequestKind;

/**
 * Decides what happens to a request after an attempt failed. Only the kind of the route says whether a request that may
 * have run can be sent again.
 */
public final class RetryPolicy {
    private RetryPolicy() {}

    /** How an attempt failed, as far as this node can know. */
    public enum Outcome {
        /** No byte of the request was passed to a connection. */
        NOT_SENT,
        /** The upstream reported that it did not run the request. */
        NOT_RUN,
        /** The upstream responded with a failure. */
        FAILED,
        /** The connection broke, or the response was corrupt: the request may have run. */
        UNKNOWN
    }

    /** What to do next. */
    public enum Next {
        /** Send the request to another upstream. */
        SEND_AGAIN,
        /** Reject the request: it has not run and never will. */
        REFUSE,
        /** Forward the upstream's failure to the caller. */
        PASS_FAILURE,
        /** Report to the caller that the request may have run. */
        SAY_UNKNOWN
    }

    /**
     * The attempts of a request so far.
     *
     * @param kind kind of the route, which says whether requests are idempotent
     * @param attempts attempts at which bytes of the request were sent
     * @param maximumAttempts maximum number of such attempts
     * @param mayHaveRun whether any upstream may have run the request
     * @param hasTime whether the remaining time suffices for another attempt
     * @param hasBudget whether the retry budget allows another attempt
     */
    public record Progress(
            RequestKind kind,
            int attempts,
            int maximumAttempts,
            boolean mayHaveRun,
            boolean hasTime,
            boolean hasBudget) {
        /** Rejects null components. */
        public Progress {
            Objects.requireNonNull(kind, "kind");
        }
    }

    /**
     * Decides what to do after a failed attempt.
     *
     * @param progress the attempts so far, the failed one included
     * @param outcome how the last attempt failed
     * @return what to do next
     */
    public static Next decide(Progress progress, Outcome outcome) {
        boolean mayHaveRun = progress.mayHaveRun() || outcome == Outcome.UNKNOWN || outcome == Outcome.FAILED;
        boolean idempotent = progress.kind().isIdempotent();
        boolean safeToRetry = idempotent || !mayHaveRun;
        boolean withinLimits = progress.hasTime() && (outcome == Outcome.NOT_SENT || hasAttemptsLeft(progress));
        if (safeToRetry && withinLimits) {
            assertSafeToRetry(idempotent, mayHaveRun);
            return Next.SEND_AGAIN;
        }
        if (outcome == Outcome.FAILED) {
            return Next.PASS_FAILURE;
        }
        return mayHaveRun ? Next.SAY_UNKNOWN : Next.REFUSE;
    }

    private static boolean hasAttemptsLeft(Progress progress) {
        return progress.attempts() < progress.maximumAttempts() && progress.hasBudget();
    }

    private static void assertSafeToRetry(boolean idempotent, boolean mayHaveRun) {
        if (!idempotent && mayHaveRun) {
            throw new IllegalStateException("a request that is not idempotent and may have run must not be retried");
        }
    }
}

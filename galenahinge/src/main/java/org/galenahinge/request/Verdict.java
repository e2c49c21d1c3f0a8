package org.galenahinge.request;

import java.time.Duration;
import java.util.Objects;

/**
 * Whether a request ran, did not run or may have run. Every response carries it, between the system's processes and to
 * the caller.
 *
 * <p>A non-idempotent request may be retried only after {@link NotRun}.
 */
public sealed interface Verdict {
    /**
     * Returns the name used in headers and logs.
     *
     * @return {@code answered}, {@code not-run} or {@code may-have-run}
     */
    String label();

    /**
     * Returns the verdict for a request that the upstream answered.
     *
     * @return the verdict
     */
    static Verdict answered() {
        return Answered.INSTANCE;
    }

    /**
     * Creates the verdict for a request that certainly did not run in this attempt and never will.
     *
     * @param reason why it was rejected
     * @param detail one line of text for the caller
     * @param retryAfter after which time a retry makes sense; zero for at once
     * @return the verdict
     */
    static NotRun notRun(Reason reason, String detail, Duration retryAfter) {
        return new NotRun(reason, detail, retryAfter);
    }

    /**
     * Creates the verdict for a request whose outcome is unknown.
     *
     * @param reason why the outcome is unknown
     * @param detail one line of text for the caller
     * @return the verdict
     */
    static MayHaveRun mayHaveRun(Reason reason, String detail) {
        return new MayHaveRun(reason, detail);
    }

    /** The upstream ran the request; the response is the upstream's. */
    record Answered() implements Verdict {
        private static final Answered INSTANCE = new Answered();

        @Override
        public String label() {
            return "answered";
        }
    }

    /**
     * The request did not run.
     *
     * @param reason why not
     * @param detail one line of text for the caller
     * @param retryAfter after which time a retry makes sense; zero for at once
     */
    record NotRun(Reason reason, String detail, Duration retryAfter) implements Verdict {
        public NotRun {
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(detail, "detail");
            Objects.requireNonNull(retryAfter, "retryAfter");
        }

        @Override
        public String label() {
            return "not-run";
        }
    }

    /**
     * The request may or may not have run.
     *
     * @param reason why the outcome is unknown
     * @param detail one line of text for the caller
     */
    record MayHaveRun(Reason reason, String detail) implements Verdict {
        public MayHaveRun {
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(detail, "detail");
        }

        @Override
        public String label() {
            return "may-have-run";
        }
    }
}

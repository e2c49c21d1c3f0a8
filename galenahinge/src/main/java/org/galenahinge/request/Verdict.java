package org.galenahinge.request;

import java.time.Duration;
import java.util.Objects;

/**
 * Tells whether a request may have run. It travels with every answer, over every link, up to the caller.
 *
 * <p>Only {@link NotRun} permits another try of a call that may not be repeated.
 */
public sealed interface Verdict {
    /**
     * Returns the name of this verdict as it stands in headers and logs.
     *
     * @return {@code answered}, {@code not-run} or {@code may-have-run}
     */
    String label();

    /**
     * Creates the verdict for a call that the upstream answered.
     *
     * @return the verdict
     */
    static Verdict answered() {
        return Answered.INSTANCE;
    }

    /**
     * Creates the verdict for a call that certainly did not run and never will under this attempt.
     *
     * @param reason why it was refused
     * @param detail one line for the caller
     * @param retryAfter when another try makes sense
     * @return the verdict
     */
    static NotRun notRun(Reason reason, String detail, Duration retryAfter) {
        return new NotRun(reason, detail, retryAfter);
    }

    /**
     * Creates the verdict for a call whose outcome is unknown.
     *
     * @param reason why the outcome is unknown
     * @param detail one line for the caller
     * @return the verdict
     */
    static MayHaveRun mayHaveRun(Reason reason, String detail) {
        return new MayHaveRun(reason, detail);
    }

    /** The upstream ran the call and its answer is attached. */
    record Answered() implements Verdict {
        private static final Answered INSTANCE = new Answered();

        @Override
        public String label() {
            return "answered";
        }
    }

    /**
     * The call did not run.
     *
     * @param reason why
     * @param detail one line for the caller
     * @param retryAfter when another try makes sense; zero for at once
     */
    record NotRun(Reason reason, String detail, Duration retryAfter) implements Verdict {
        /** Checks the parts. */
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
     * The call may or may not have run.
     *
     * @param reason why nobody can tell
     * @param detail one line for the caller
     */
    record MayHaveRun(Reason reason, String detail) implements Verdict {
        /** Checks the parts. */
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

package org.galenahinge.placement;

import java.util.Objects;
import org.galenahinge.catalog.RequestKind;

/** Decides what becomes of a request after one upstream did not answer it. Only the route's kind says what may repeat. */
public final class RepeatPolicy {
    private RepeatPolicy() {}

    /** What an attempt ended with, as far as this node can know. */
    public enum Outcome {
        /** No byte of the request was handed to a connection. */
        NOT_SENT,
        /** The upstream itself said that it did not run the request. */
        NOT_RUN,
        /** The upstream answered that it failed. */
        FAILED,
        /** The connection broke, or the answer was spoilt: the request may have run. */
        UNKNOWN
    }

    /** What to do next. */
    public enum Next {
        /** Send it to another upstream. */
        SEND_AGAIN,
        /** Refuse it: it has not run and never will. */
        REFUSE,
        /** Pass the upstream's failure on. */
        PASS_FAILURE,
        /** Say that nobody knows whether it ran. */
        SAY_UNKNOWN
    }

    /**
     * How far a request has come.
     *
     * @param kind what may be repeated
     * @param sent upstreams that it was handed to
     * @param maximumSent the most that it may be handed to
     * @param mayHaveRun whether any upstream may have run it
     * @param timeLeft whether enough time is left for another upstream
     * @param hasBudget whether a repeat is in the budget
     */
    public record Progress(
            RequestKind kind, int sent, int maximumSent, boolean mayHaveRun, boolean timeLeft, boolean hasBudget) {
        /** Checks the parts. */
        public Progress {
            Objects.requireNonNull(kind, "kind");
        }
    }

    /**
     * Decides.
     *
     * @param progress how far the request has come, the attempt included
     * @param outcome what the attempt ended with
     * @return what to do next
     */
    public static Next decide(Progress progress, Outcome outcome) {
        boolean mayHaveRun = progress.mayHaveRun() || outcome == Outcome.UNKNOWN || outcome == Outcome.FAILED;
        boolean repeatable = progress.kind().isIdempotent();
        boolean mayRepeat = repeatable || !mayHaveRun;
        boolean room = progress.timeLeft() && (outcome == Outcome.NOT_SENT || hasRoom(progress));
        if (mayRepeat && room) {
            assertMayRepeat(repeatable, mayHaveRun);
            return Next.SEND_AGAIN;
        }
        if (outcome == Outcome.FAILED) {
            return Next.PASS_FAILURE;
        }
        return mayHaveRun ? Next.SAY_UNKNOWN : Next.REFUSE;
    }

    private static boolean hasRoom(Progress progress) {
        return progress.sent() < progress.maximumSent() && progress.hasBudget();
    }

    private static void assertMayRepeat(boolean repeatable, boolean mayHaveRun) {
        if (!repeatable && mayHaveRun) {
            throw new IllegalStateException("a request that may have run must not be sent again");
        }
    }
}

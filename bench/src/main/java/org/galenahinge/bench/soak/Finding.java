package org.galenahinge.bench.soak;

/** What the verdict says of a request, or of the stop of an entry. */
enum Finding {
    /** A complete response that is neither a refusal nor of unknown outcome. */
    COMPLETE(false),
    /** A complete response that says that the request has not run, and it has not. */
    REFUSED_NOT_RUN(false),
    /** A complete response that leaves open whether the request ran. */
    UNKNOWN_OUTCOME(false),
    /** The request crossed a close of its connection and was not passed on. */
    CROSSED(false),
    /** The request was not passed on, and the caller cannot tell whether the connection ended before the entry read it. */
    UNSEEN(false),
    /** The caller closed the connection, since it had given up a request before this one. */
    LEFT_BY_CALLER(false),
    /** No complete response: the upstream broke off. */
    EXCUSED_UPSTREAM(false),
    /** Not passed on: behind a request on the same connection whose upstream broke off midway, so that it had to close. */
    BEHIND_BROKEN_OFF(false),
    /** No complete response: the caller's time or the route's timeout was over. */
    EXCUSED_TIME(false),
    /** No complete response: an early request at which an upstream still worked in the last sixth of the grace. */
    EXCUSED_LAST_SIXTH(false),
    /** No complete response, beside a fault that is not planned, or beside no planned work out of touch. */
    DISTURBED(false),
    /** No complete response beside a config; its number is judged at the end. */
    CUT_BESIDE_CONFIG(false),
    /** No complete response of an undisturbed entry; more than a few are a loss. */
    CUT_AT_ANY_TIME(false),
    /** No complete response around planned work, without an excuse. */
    LOST(true),
    /** A request that may run once ran more than once. */
    TWICE(true),
    /** A request that may run once was refused, and ran. */
    REFUSED_BUT_RUN(true),
    /** A response that is not the upstream's, or not to this request. */
    MIXED(true),
    /** A stream with missing, repeated or joined events, or that ends too soon as if complete. */
    DISORDER(true),
    /** A run that began on an older version than one whose time was over, of an entry to which something was done. */
    EXCUSED_VERSION(false),
    /** A run that began on an older version of the weights than one whose time was over. */
    VERSION(true),
    /** A process that ended after SIGTERM with an exit code other than 0. */
    EXIT_CODE(true),
    /** A process that outlived its grace. */
    LATE_EXIT(true),
    /** A process that ended, though nobody asked it to. */
    ENDED(true),
    /** An entry that was not ready in time after its start. */
    NOT_READY(true);

    private final boolean violation;

    Finding(boolean violation) {
        this.violation = violation;
    }

    boolean isViolation() {
        return violation;
    }

    /** Returns whether it breaks a promise only if there are too many of it. */
    boolean countsByNumber() {
        return this == CUT_AT_ANY_TIME || this == CUT_BESIDE_CONFIG;
    }
}

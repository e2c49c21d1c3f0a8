package org.galenahinge.bench;

/** What a caller saw of one call in the end. */
public enum Outcome {
    /** A whole answer to its own request. */
    ANSWERED,
    /** A definite "not run". */
    NOT_RUN,
    /** The outcome is unknown. */
    MAY_HAVE_RUN,
    /** A streamed answer broke off, and the caller could see that. */
    INTERRUPTED,
    /** No entry could be reached, or the connection broke before a verdict. */
    NO_VERDICT,
    /** An answer that ended as if it were whole, but is short, wrong, or another request's. Breaks a promise. */
    WRONG
}

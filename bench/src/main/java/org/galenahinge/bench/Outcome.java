package org.galenahinge.bench;

/** The final outcome of one request as its caller sees it. */
public enum Outcome {
    /** A complete and correct response. */
    ANSWERED,
    /** The verdict "not run". */
    NOT_RUN,
    /** The verdict "may have run", or retries ended without knowing whether the request ran. */
    MAY_HAVE_RUN,
    /** A streamed response was interrupted, and the caller could detect it. */
    INTERRUPTED,
    /** No entry was reachable, or the connection failed before a verdict. */
    NO_VERDICT,
    /** A response that ended as if it were complete, but is truncated, wrong, or for another request: a fault. */
    WRONG
}

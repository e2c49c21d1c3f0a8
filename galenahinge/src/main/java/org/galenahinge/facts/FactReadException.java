package org.galenahinge.facts;

/** Says that facts could not be read. */
public final class FactReadException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Cause reason;

    /**
     * Creates the error.
     *
     * @param reason what went wrong
     * @param detail one line for the log
     */
    public FactReadException(Cause reason, String detail) {
        super(detail, null, false, false);
        this.reason = reason;
    }

    /**
     * Returns what went wrong.
     *
     * @return the reason
     */
    public Cause reason() {
        return reason;
    }

    /** What can go wrong. */
    public enum Cause {
        /** No whole answer came in time. */
        SILENT,
        /** The source refused, for now. */
        REFUSED,
        /** The history that was asked for is gone: all items must be read. */
        HISTORY_GONE,
        /** The answer cannot be read. */
        MALFORMED
    }
}

package org.galenahinge.facts;

/** Thrown when facts cannot be read from a fact source. */
public final class FactReadException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Cause reason;

    /**
     * Creates the exception.
     *
     * @param reason the kind of failure
     * @param detail one line for the log
     */
    public FactReadException(Cause reason, String detail) {
        super(detail, null, false, false);
        this.reason = reason;
    }

    /**
     * Returns the kind of failure.
     *
     * @return the reason
     */
    public Cause reason() {
        return reason;
    }

    /** The kinds of failure. */
    public enum Cause {
        /** The source sent no complete response in time. */
        SILENT,
        /** The source rejected the read; a later one may succeed. */
        REFUSED,
        /** The source no longer has the changes after the requested revision; a snapshot must be read. */
        HISTORY_GONE,
        /** The response cannot be decoded. */
        MALFORMED
    }
}

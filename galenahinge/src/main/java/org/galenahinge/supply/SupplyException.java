package org.galenahinge.supply;

/** Thrown when an engine, an origin or a node sent no response or one that cannot be used. */
public final class SupplyException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param detail one line for the log
     */
    public SupplyException(String detail) {
        super(detail, null, false, false);
    }
}

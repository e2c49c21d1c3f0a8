package org.galenahinge.supply;

/** Says that an engine, an origin or a node gave no clear answer. */
public final class SupplyException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the error.
     *
     * @param detail one line for the log
     */
    public SupplyException(String detail) {
        super(detail, null, false, false);
    }
}

package org.galenahinge.http;

/** Says in a few words what went wrong on a connection. */
final class ErrorText {
    private ErrorText() {}

    /** The error's own words, or its kind where it has none. */
    static String of(Throwable error) {
        return error.getMessage() == null ? error.getClass().getSimpleName() : error.getMessage();
    }
}

package org.galenahinge.http;

/** Describes connection errors for log lines and responses. */
final class ErrorText {
    private ErrorText() {}

    /** Returns the error's message, or its simple class name when it has none. */
    static String of(Throwable error) {
        return error.getMessage() == null ? error.getClass().getSimpleName() : error.getMessage();
    }
}

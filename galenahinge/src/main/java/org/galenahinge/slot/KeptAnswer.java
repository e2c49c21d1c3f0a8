package org.galenahinge.slot;

import java.util.Objects;

/** Holds a whole answer of a plain service. */
final class KeptAnswer {
    /** Stands where there is no answer. */
    static final KeptAnswer NONE = new KeptAnswer(0, "", new byte[0]);

    private final int status;
    private final String contentType;
    private final byte[] body;

    /** The body is taken over and must not be changed afterwards. */
    KeptAnswer(int status, String contentType, byte[] body) {
        this.status = status;
        this.contentType = Objects.requireNonNull(contentType, "contentType");
        this.body = Objects.requireNonNull(body, "body");
    }

    int status() {
        return status;
    }

    String contentType() {
        return contentType;
    }

    byte[] body() {
        return body;
    }
}

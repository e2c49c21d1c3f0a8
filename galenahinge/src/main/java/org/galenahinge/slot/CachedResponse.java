package org.galenahinge.slot;

import java.util.Objects;

/** The complete response of a plain service, cached for retries of a non-idempotent request. */
final class CachedResponse {
    /** Placeholder for requests without a cached response. */
    static final CachedResponse NONE = new CachedResponse(0, "", new byte[0]);

    private final int status;
    private final String contentType;
    private final byte[] body;

    /** The body is not copied and must not be changed afterwards. */
    CachedResponse(int status, String contentType, byte[] body) {
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

package org.galenahinge.http;

import java.util.Objects;

/**
 * A small HTTP answer that is held whole.
 *
 * @param status the status code
 * @param contentType the content type
 * @param body the text
 */
public record HttpDocument(int status, String contentType, String body) {
    /** Checks the parts. */
    public HttpDocument {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }
}

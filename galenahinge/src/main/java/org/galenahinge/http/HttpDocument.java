package org.galenahinge.http;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

/** A small HTTP response whose body is held in memory. Immutable: callers must not modify the body's bytes. */
public final class HttpDocument {
    private final int status;
    private final String contentType;
    private final byte[] body;

    private HttpDocument(int status, String contentType, byte[] body) {
        this.status = status;
        this.contentType = Objects.requireNonNull(contentType, "contentType");
        this.body = Objects.requireNonNull(body, "body");
    }

    /**
     * Creates a response with a text body, encoded as UTF-8.
     *
     * @param status the status code
     * @param contentType the content type
     * @param body the text
     * @return the response
     */
    public static HttpDocument text(int status, String contentType, String body) {
        return new HttpDocument(status, contentType, body.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Creates a response with a binary body, of type {@code application/octet-stream}.
     *
     * @param status the status code
     * @param body the bytes
     * @return the response
     */
    public static HttpDocument bytes(int status, byte[] body) {
        return new HttpDocument(status, "application/octet-stream", body);
    }

    /**
     * Returns the status code.
     *
     * @return the status code
     */
    public int status() {
        return status;
    }

    /**
     * Returns the content type.
     *
     * @return the content type
     */
    public String contentType() {
        return contentType;
    }

    /**
     * Returns the body, which must not be modified.
     *
     * @return the body, in bytes
     */
    public byte[] body() {
        return body;
    }
}

package org.galenahinge.http;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

/** A small HTTP answer that is held whole. Immutable: its bytes must not be changed. */
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
     * Creates an answer of text.
     *
     * @param status the status code
     * @param contentType the content type
     * @param body the text
     * @return the answer
     */
    public static HttpDocument text(int status, String contentType, String body) {
        return new HttpDocument(status, contentType, body.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Creates an answer of bytes.
     *
     * @param status the status code
     * @param body the bytes
     * @return the answer
     */
    public static HttpDocument bytes(int status, byte[] body) {
        return new HttpDocument(status, "application/octet-stream", body);
    }

    /**
     * Returns the status code.
     *
     * @return the code
     */
    public int status() {
        return status;
    }

    /**
     * Returns the content type.
     *
     * @return the type
     */
    public String contentType() {
        return contentType;
    }

    /**
     * Returns the body.
     *
     * @return the bytes
     */
    public byte[] body() {
        return body;
    }
}

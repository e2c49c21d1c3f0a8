package org.galenahinge.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Objects;

/** A complete request of a caller. Immutable: its body and headers must not be changed. */
public final class CallerRequest {
    private final HttpMethod method;
    private final String uri;
    private final HttpVersion version;
    private final HttpHeaders headers;
    private final byte[] body;
    private final RequestMetadata metadata;
    private final long arrivedNanos;

    CallerRequest(
            HttpMethod method,
            String uri,
            HttpVersion version,
            HttpHeaders headers,
            byte[] body,
            RequestMetadata metadata,
            long arrivedNanos) {
        this.method = Objects.requireNonNull(method, "method");
        this.uri = Objects.requireNonNull(uri, "uri");
        this.version = Objects.requireNonNull(version, "version");
        this.headers = Objects.requireNonNull(headers, "headers");
        this.body = Objects.requireNonNull(body, "body");
        this.metadata = Objects.requireNonNull(metadata, "metadata");
        this.arrivedNanos = arrivedNanos;
    }

    HttpMethod method() {
        return method;
    }

    String uri() {
        return uri;
    }

    HttpVersion version() {
        return version;
    }

    HttpHeaders headers() {
        return headers;
    }

    byte[] body() {
        return body;
    }

    RequestMetadata metadata() {
        return metadata;
    }

    /** When the first byte of the request was read, in nanoseconds of the monotonic clock. */
    long arrivedNanos() {
        return arrivedNanos;
    }

    String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    String requestId() {
        return metadata.requestId().orElse("");
    }
}

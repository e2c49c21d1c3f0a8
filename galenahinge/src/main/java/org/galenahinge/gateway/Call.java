package org.galenahinge.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Objects;

/** One whole request of a caller. Immutable: its body and headers must not be changed. */
public final class Call {
    private final HttpMethod method;
    private final String uri;
    private final HttpVersion version;
    private final HttpHeaders headers;
    private final byte[] body;
    private final CallHead head;
    private final long arrivedNanos;

    Call(
            HttpMethod method,
            String uri,
            HttpVersion version,
            HttpHeaders headers,
            byte[] body,
            CallHead head,
            long arrivedNanos) {
        this.method = Objects.requireNonNull(method, "method");
        this.uri = Objects.requireNonNull(uri, "uri");
        this.version = Objects.requireNonNull(version, "version");
        this.headers = Objects.requireNonNull(headers, "headers");
        this.body = Objects.requireNonNull(body, "body");
        this.head = Objects.requireNonNull(head, "head");
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

    CallHead head() {
        return head;
    }

    /** When its first byte was read, in nanoseconds. */
    long arrivedNanos() {
        return arrivedNanos;
    }

    String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    String requestId() {
        return head.requestId().orElse("");
    }
}

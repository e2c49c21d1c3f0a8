package org.galenahinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * A response that the system itself sends to a request without a response from an upstream.
 *
 * @param status the status code
 * @param reason the identifier of the reason in logs and metrics
 * @param detail one line of text for the caller
 * @param retryAfter after which time the caller should retry, if a retry makes sense
 */
record Rejection(int status, String reason, String detail, Optional<Duration> retryAfter) {
    Rejection {
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(detail, "detail");
        Objects.requireNonNull(retryAfter, "retryAfter");
    }

    static Rejection of(int status, String reason, String detail) {
        return new Rejection(status, reason, detail, Optional.empty());
    }

    /** Rejects a request that has not run and never will. */
    static Rejection notRun(String reason, String detail, Duration retryAfter) {
        return new Rejection(503, reason, detail, Optional.of(retryAfter));
    }

    /** Rejects a request because the entry stops. Others are available, so that the caller may send it again soon. */
    static Rejection stopping(double random) {
        return notRun("stopping", "the entry is stopping", RetryAfterPolicy.whenFull(random));
    }

    /** Reports that the outcome of a request is unknown. */
    static Rejection mayHaveRun(String reason, String detail) {
        return of(502, reason, detail);
    }

    /** Reports that the deadline of a request that may have run has passed. */
    static Rejection deadlineExceeded(String detail) {
        return of(504, "timeout", detail);
    }

    /** Returns the headers of the response, without those for length and connection. */
    HttpHeaders headers(RequestTranslator translator) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        retryAfter.ifPresent(delay -> translator.setRetryAfter(headers, delay));
        return headers;
    }

    /** Returns the body of the response. */
    ByteBuf body() {
        return Unpooled.copiedBuffer(detail + "\n", StandardCharsets.UTF_8);
    }
}

package org.galenahinge.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;

/** Detects requests with ambiguous framing, to prevent request smuggling. */
final class RequestFraming {
    private RequestFraming() {}

    /** Returns what is wrong with the head of a request, or empty if the end of the request is unambiguous. */
    static Optional<String> faultOf(HttpRequest head) {
        List<String> encodings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        List<String> lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
        if (!encodings.isEmpty() && !lengths.isEmpty()) {
            return Optional.of("both a content length and a transfer encoding are given");
        }
        if (encodings.size() > 1 || (encodings.size() == 1 && !encodings.get(0).equalsIgnoreCase("chunked"))) {
            return Optional.of("the transfer encoding is not chunked");
        }
        if (lengths.size() > 1) {
            return Optional.of("more than one content length is given");
        }
        if (lengths.size() == 1 && !lengths.get(0).chars().allMatch(digit -> digit >= '0' && digit <= '9')) {
            return Optional.of("the content length is not a number");
        }
        List<String> hosts = head.headers().getAll(HttpHeaderNames.HOST);
        boolean hostMissing = hosts.isEmpty() && head.protocolVersion().equals(HttpVersion.HTTP_1_1);
        if (hostMissing || hosts.size() > 1) {
            return Optional.of("exactly one Host header is required");
        }
        if (!head.uri().startsWith("/")) {
            return Optional.of("the path must begin with a slash");
        }
        return Optional.empty();
    }
}

package org.galenahinge.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;

/** Finds requests whose end could be read in two ways, so that nothing is smuggled inside another request. */
final class RequestFraming {
    private RequestFraming() {}

    /** Returns what is wrong with a request's head, or empty when it has one clear end. */
    static Optional<String> faultOf(HttpRequest head) {
        List<String> encodings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        List<String> lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
        if (!encodings.isEmpty() && !lengths.isEmpty()) {
            return Optional.of("both a length and a transfer encoding are given");
        }
        if (encodings.size() > 1 || (encodings.size() == 1 && !encodings.get(0).equalsIgnoreCase("chunked"))) {
            return Optional.of("the transfer encoding is not chunked");
        }
        if (lengths.size() > 1) {
            return Optional.of("several lengths are given");
        }
        if (lengths.size() == 1 && !lengths.get(0).chars().allMatch(digit -> digit >= '0' && digit <= '9')) {
            return Optional.of("the length is not a number");
        }
        List<String> hosts = head.headers().getAll(HttpHeaderNames.HOST);
        boolean hostMissing = hosts.isEmpty() && head.protocolVersion().equals(HttpVersion.HTTP_1_1);
        if (hostMissing || hosts.size() > 1) {
            return Optional.of("exactly one host must be named");
        }
        if (!head.uri().startsWith("/")) {
            return Optional.of("the path must begin with a slash");
        }
        return Optional.empty();
    }
}

package org.galenahinge.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Removes hop-by-hop headers, which concern only one connection. */
final class HopHeaders {
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private HopHeaders() {}

    /**
     * Copies all headers except the hop-by-hop headers and those that the Connection header names.
     *
     * @param from the headers as received
     * @param to receives the copies
     */
    static void copy(HttpHeaders from, HttpHeaders to) {
        Set<String> named = new HashSet<>();
        for (String value : from.getAll(HttpHeaderNames.CONNECTION)) {
            for (String token : value.split(",", -1)) {
                named.add(token.strip().toLowerCase(Locale.ROOT));
            }
        }
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !named.contains(name)) {
                to.add(header.getKey(), header.getValue());
            }
        }
    }
}

package org.galenahinge.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Leaves out the headers that concern one connection only. */
final class HopHeaders {
    private static final Set<String> ALWAYS = Set.of(
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
     * Copies all headers but those on the connection, and those that the connection header names.
     *
     * @param from the headers as received
     * @param to takes the copies
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
            if (!ALWAYS.contains(name) && !named.contains(name)) {
                to.add(header.getKey(), header.getValue());
            }
        }
    }
}

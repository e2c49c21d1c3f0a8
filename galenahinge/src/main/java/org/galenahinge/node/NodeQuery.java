package org.galenahinge.node;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;

/** Reads query parameters of HTTP requests between nodes. */
final class NodeQuery {
    private NodeQuery() {}

    /** Returns a number, or 0 when the parameter is missing or not a number. */
    static long number(QueryStringDecoder query, String name) {
        try {
            return Long.parseLong(text(query, name));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Returns the first value of the parameter, or empty text when it is missing. */
    static String text(QueryStringDecoder query, String name) {
        List<String> values = query.parameters().getOrDefault(name, List.of());
        return values.isEmpty() ? "" : values.get(0);
    }
}

package org.galenahinge.node;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;

/** Reads the query of a request between nodes. */
final class NodeQuery {
    private NodeQuery() {}

    /** A number, 0 when it is missing or none. */
    static long number(QueryStringDecoder query, String name) {
        try {
            return Long.parseLong(text(query, name));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    static boolean flag(QueryStringDecoder query, String name) {
        return text(query, name).equals("true");
    }

    static String text(QueryStringDecoder query, String name) {
        List<String> values = query.parameters().getOrDefault(name, List.of());
        return values.isEmpty() ? "" : values.get(0);
    }
}

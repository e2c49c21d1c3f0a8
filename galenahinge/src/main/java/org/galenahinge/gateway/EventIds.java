package org.galenahinge.gateway;

import java.util.Optional;

/** Reads and compares the ids of server-sent events. */
final class EventIds {
    private static final String FIELD = "id:";

    private EventIds() {}

    /** Returns the value of the first id field of an event, if it has one. */
    static Optional<String> idOf(String event) {
        int start = 0;
        while (start < event.length()) {
            int newline = event.indexOf('\n', start);
            int lineEnd = newline < 0 ? event.length() : newline;
            if (event.startsWith(FIELD, start)) {
                return Optional.of(
                        event.substring(start + FIELD.length(), lineEnd).strip());
            }
            start = lineEnd + 1;
        }
        return Optional.empty();
    }

    /**
     * Returns whether an event id comes after the last one. Numeric ids are compared as numbers; others only have to
     * differ.
     */
    static boolean follows(String last, String next) {
        try {
            return Long.parseLong(next) > Long.parseLong(last);
        } catch (NumberFormatException e) {
            return !next.equals(last);
        }
    }
}

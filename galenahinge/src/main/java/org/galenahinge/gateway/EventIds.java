package org.galenahinge.gateway;

import java.util.Optional;
import java.util.OptionalLong;

/** Reads and compares the ids of server-sent events. */
final class EventIds {
    private static final String ID_FIELD = "id:";
    private static final String DATA_FIELD = "data";

    private EventIds() {}

    /** Returns the value of the first id field of an event, if it has one. */
    static Optional<String> idOf(String event) {
        int start = 0;
        while (start < event.length()) {
            int newline = event.indexOf('\n', start);
            int lineEnd = newline < 0 ? event.length() : newline;
            if (event.startsWith(ID_FIELD, start)) {
                return Optional.of(
                        event.substring(start + ID_FIELD.length(), lineEnd).strip());
            }
            start = lineEnd + 1;
        }
        return Optional.empty();
    }

    /** Returns whether an event carries neither data nor an id: it is a comment or a setting of the stream. */
    static boolean isBare(String event) {
        return idOf(event).isEmpty() && event.lines().noneMatch(line -> line.startsWith(DATA_FIELD));
    }

    /** Returns the number that an event id is, if it is one. */
    static OptionalLong number(String id) {
        try {
            return OptionalLong.of(Long.parseLong(id));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    /**
     * Returns whether an event id comes after the last one. Numeric ids are compared as numbers; others only have to
     * differ.
     */
    static boolean follows(String last, String next) {
        OptionalLong lastNumber = number(last);
        OptionalLong nextNumber = number(next);
        if (lastNumber.isEmpty() || nextNumber.isEmpty()) {
            return !next.equals(last);
        }
        return nextNumber.getAsLong() > lastNumber.getAsLong();
    }
}

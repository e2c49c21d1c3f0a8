package org.galenahinge.gateway;

import java.util.Optional;

/** Reads the ids of a stream's events. */
final class EventIds {
    private static final String FIELD = "id:";

    private EventIds() {}

    /** Returns the id of an event, if it has one. */
    static Optional<String> idOf(String event) {
        int begin = 0;
        while (begin < event.length()) {
            int end = event.indexOf('\n', begin);
            int stop = end < 0 ? event.length() : end;
            if (event.startsWith(FIELD, begin)) {
                return Optional.of(event.substring(begin + FIELD.length(), stop).strip());
            }
            begin = stop + 1;
        }
        return Optional.empty();
    }

    /** Tells whether an event with this id comes after another; ids that are no numbers are taken to. */
    static boolean follows(String last, String next) {
        try {
            return Long.parseLong(next) > Long.parseLong(last);
        } catch (NumberFormatException e) {
            return !next.equals(last);
        }
    }
}

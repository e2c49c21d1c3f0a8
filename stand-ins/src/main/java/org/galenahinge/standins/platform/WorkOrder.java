package org.galenahinge.standins.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * What a caller asks an upstream to do. It travels in the target of the request, so that the upstream does exactly that
 * and the caller knows what a whole response contains.
 *
 * @param id the id of the request
 * @param kind the kind of its route
 * @param events the number of events in a stream, 0 for a response with a length
 * @param pauseMillis the work before a response, or before each event of a stream, in milliseconds
 * @param bytes the least size of a response with a length, in bytes
 * @param deed what the upstream does with the request
 */
public record WorkOrder(String id, Kind kind, int events, int pauseMillis, int bytes, Deed deed) {
    /** Rejects null components and negative sizes. */
    public WorkOrder {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(deed, "deed");
        if (events < 0 || pauseMillis < 0 || bytes < 0) {
            throw new IllegalArgumentException("negative size in the work of " + id);
        }
    }

    /** The kinds of routes. */
    public enum Kind {
        /** A request that may be repeated. */
        LOOKUP("/lookup/", "idempotent", true),
        /** A request that may run once at most. */
        ORDER("/order/", "non_idempotent", false),
        /** A stream that may run once at most. */
        STREAM("/stream/", "streaming", false),
        /** A stream that may be resumed at another upstream. */
        RESUMABLE("/resumable/", "streaming", true),
        /** A stream of an engine that may run once at most. */
        PROMPT("/prompt/", "streaming", false),
        /** A stream of an engine that may be resumed at another one. */
        RESUMABLE_PROMPT("/resumable-prompt/", "streaming", true);

        private final String prefix;
        private final String routeKind;
        private final boolean repeatable;

        Kind(String prefix, String routeKind, boolean repeatable) {
            this.prefix = prefix;
            this.routeKind = routeKind;
            this.repeatable = repeatable;
        }

        String prefix() {
            return prefix;
        }

        String routeKind() {
            return routeKind;
        }

        /**
         * Returns whether a request of this kind may run more than once.
         *
         * @return whether it may be repeated or resumed
         */
        public boolean isRepeatable() {
            return repeatable;
        }

        /**
         * Returns whether its responses are streams of events.
         *
         * @return whether they are streams
         */
        public boolean isStream() {
            return routeKind.equals("streaming");
        }

        /**
         * Returns whether an upstream with an engine serves it.
         *
         * @return whether it goes to an engine
         */
        public boolean usesEngine() {
            return this == PROMPT || this == RESUMABLE_PROMPT;
        }
    }

    /** What an upstream does with a request. */
    public enum Deed {
        /** It runs the request and responds with success. */
        RUN,
        /** It rejects the request with status 503 and {@code Retry-After}, and does not run it. */
        REJECT,
        /** It runs the request and responds with status 500. */
        FAIL,
        /** It begins to run the request and closes the connection midway. */
        BREAK_OFF
    }

    String target() {
        return kind.prefix + "work?kind=" + kind + "&events=" + events + "&pause=" + pauseMillis + "&bytes=" + bytes
                + "&deed=" + deed;
    }

    static WorkOrder parse(String id, String target) {
        Map<String, String> fields = new HashMap<>();
        for (String field : target.substring(target.indexOf('?') + 1).split("&", -1)) {
            int separator = field.indexOf('=');
            fields.put(field.substring(0, separator), field.substring(separator + 1));
        }
        return new WorkOrder(
                id,
                Kind.valueOf(fields.get("kind")),
                Integer.parseInt(fields.get("events")),
                Integer.parseInt(fields.get("pause")),
                Integer.parseInt(fields.get("bytes")),
                Deed.valueOf(fields.get("deed")));
    }

    /**
     * Returns the whole response to a request that is no stream.
     *
     * @return the body, which names the request
     */
    public String wholeBody() {
        return "done " + id + " " + "x".repeat(bytes);
    }
}

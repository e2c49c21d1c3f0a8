package org.galenahinge.standins.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * What a caller received in response to a request.
 *
 * @param ending how it ended
 * @param status the status, 0 if none came
 * @param seal the upstream's seal, empty if there is none
 * @param requestId the id of the request that it names, empty if it names none
 * @param closes whether it says that the connection closes
 * @param body the body, as far as it came
 */
public record CallerResponse(Ending ending, int status, String seal, String requestId, boolean closes, String body) {
    private static final String EVENT_ID = "id: ";
    private static final String EVENT_DATA = "data: ";

    /** Rejects null components. */
    public CallerResponse {
        Objects.requireNonNull(ending, "ending");
        Objects.requireNonNull(seal, "seal");
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(body, "body");
    }

    /** How a response ended. */
    public enum Ending {
        /** All of it came. */
        COMPLETE,
        /** The entry closed the connection before its first byte. */
        CLOSED_BEFORE,
        /** The entry closed the connection midway. */
        CLOSED_MIDWAY,
        /** The connection failed before its first byte. */
        RESET_BEFORE,
        /** The connection failed midway. */
        RESET_MIDWAY,
        /** The caller's time was over. */
        TIME_OVER,
        /** The caller closed the connection, since it had given up a request before this one on it. */
        LEFT
    }

    /**
     * Returns what a caller has of a request whose connection it closes itself.
     *
     * @return a response of which nothing came
     */
    public static CallerResponse left() {
        return new CallerResponse(Ending.LEFT, 0, "", "", false, "");
    }

    static CallerResponse of(ReceivedMessage message) {
        boolean begun = !message.startLine().isEmpty();
        return new CallerResponse(
                ending(message.end(), begun),
                begun ? Integer.parseInt(message.secondWord()) : 0,
                message.header("Server-Seal"),
                message.header("Attempt-Id"),
                message.header("Connection").equalsIgnoreCase("close"),
                message.body());
    }

    private static Ending ending(ReceivedMessage.End end, boolean begun) {
        return switch (end) {
            case COMPLETE -> Ending.COMPLETE;
            case CLOSED -> begun ? Ending.CLOSED_MIDWAY : Ending.CLOSED_BEFORE;
            case RESET -> begun ? Ending.RESET_MIDWAY : Ending.RESET_BEFORE;
            case TIME_OVER -> Ending.TIME_OVER;
        };
    }

    /**
     * Returns whether it is a success, that is, has a status from 200 to 299.
     *
     * @return whether it is
     */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /**
     * Returns whether it says that the request has not run and never will.
     *
     * @return whether the status is one of a refusal
     */
    public boolean isRefusal() {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    /**
     * Compares a complete response with the one that its upstream gave.
     *
     * @param order what the caller asked for
     * @return what mixes it with something else, empty if nothing does
     */
    public Optional<String> findMixture(WorkOrder order) {
        if (!requestId.isEmpty() && !requestId.equals(order.id())) {
            return Optional.of("it names request " + requestId);
        }
        if (!isSuccess()) {
            boolean wrongFailure = !seal.isEmpty() && (order.deed() != WorkOrder.Deed.FAIL || status != 500);
            return wrongFailure ? Optional.of("a failure with a seal and status " + status) : Optional.empty();
        }
        if (seal.isEmpty()) {
            return Optional.of("a success without a seal");
        }
        if (order.deed() != WorkOrder.Deed.RUN && !order.kind().isStream()) {
            return Optional.of("a success where the upstream had none");
        }
        if (order.kind().isStream() || body.equals(order.wholeBody())) {
            return Optional.empty();
        }
        return Optional.of("a body of " + body.length() + " bytes that is not the upstream's");
    }

    /**
     * Checks the order of the events in a stream that succeeded, also in one that was cut.
     *
     * @param order what the caller asked for
     * @return what is wrong with the events, empty if nothing is
     */
    public Optional<String> findDisorder(WorkOrder order) {
        if (!isSuccess() || !order.kind().isStream()) {
            return Optional.empty();
        }
        List<String> runs = new ArrayList<>();
        int events = 0;
        int wholeEnd = body.lastIndexOf("\n\n");
        for (String event :
                wholeEnd < 0 ? new String[0] : body.substring(0, wholeEnd).split("\n\n", -1)) {
            events++;
            String[] lines = event.split("\n", -1);
            if (lines.length != 2 || !lines[0].equals(EVENT_ID + events)) {
                return Optional.of("event " + events + " is '" + lines[0] + "'");
            }
            if (!lines[1].startsWith(EVENT_DATA + order.id() + " ")) {
                return Optional.of("event " + events + " holds '" + lines[1] + "'");
            }
            runs.add(lines[1].substring(lines[1].lastIndexOf(' ') + 1));
        }
        if (ending == Ending.COMPLETE && events != order.events()) {
            return Optional.of("complete after " + events + " of " + order.events() + " events");
        }
        boolean joined = runs.stream().distinct().count() > 1 && !order.kind().isRepeatable();
        return joined ? Optional.of("events of several runs") : Optional.empty();
    }
}

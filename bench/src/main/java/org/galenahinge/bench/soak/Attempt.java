package org.galenahinge.bench.soak;

import java.util.Optional;
import org.galenahinge.standins.platform.CallerResponse;
import org.galenahinge.standins.platform.WorkOrder;

/**
 * One request as its caller saw it.
 *
 * @param order what the caller asked for
 * @param entry the number of the entry, from 0
 * @param beginNanos when the caller began to send, in nanoseconds of {@link System#nanoTime()}
 * @param sentNanos when its last byte was sent, in the same clock
 * @param endNanos when the response ended or the connection did, in the same clock
 * @param budgetMillis the time that the caller gave it, in milliseconds
 * @param ending how the response ended
 * @param status the status of the response, 0 if none came
 * @param closeAnnounced whether a response before it on the connection said that the connection closes
 * @param sentWhileReading whether the caller was still reading an earlier response on the connection, slowly, when it
 *     sent the request, so that it sees the end of the connection later than that came
 * @param behind the id of the request before it on the connection whose response was cut, empty if none was
 * @param mixture what is mixed into the response, empty if nothing is
 * @param disorder what is wrong with the events of a stream, empty if nothing is
 */
record Attempt(
        WorkOrder order,
        int entry,
        long beginNanos,
        long sentNanos,
        long endNanos,
        long budgetMillis,
        CallerResponse.Ending ending,
        int status,
        boolean closeAnnounced,
        boolean sentWhileReading,
        Optional<String> behind,
        Optional<String> mixture,
        Optional<String> disorder) {
    boolean isComplete() {
        return ending == CallerResponse.Ending.COMPLETE;
    }

    boolean isRefused() {
        return isComplete() && (status == 408 || status == 421 || status == 429 || status == 503);
    }

    boolean wasReset() {
        return ending == CallerResponse.Ending.RESET_BEFORE || ending == CallerResponse.Ending.RESET_MIDWAY;
    }
}

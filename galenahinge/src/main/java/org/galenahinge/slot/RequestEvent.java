package org.galenahinge.slot;

import org.galenahinge.request.Verdict;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.generated.CallStart;

/** Event that the request controller handles. */
sealed interface RequestEvent {
    /** A request arrived from an entry. */
    record Arrived(WireConnection connection, long correlation, CallStart request) implements RequestEvent {}

    /** The caller cancelled the request. */
    record Cancelled(WireConnection connection, long correlation) implements RequestEvent {}

    /** The connection to an entry was lost. */
    record ConnectionLost(WireConnection connection) implements RequestEvent {}

    /** An entry requested a permit. */
    record PermitRequested(WireConnection connection, long correlation) implements RequestEvent {}

    /** A request ended at the upstream; the response of a non-idempotent one is cached for retries. */
    record Ended(long id, Verdict verdict, CachedResponse response) implements RequestEvent {}

    /** The requests that the upstream may be given changed. */
    record ServingChanged(ServingState serving) implements RequestEvent {}

    /** Reject new requests and run {@code onDrained} once the last active request has ended. */
    record Drain(Runnable onDrained) implements RequestEvent {}

    /** Reject the requests that wait and cancel those that run, because the process ends. */
    record EndAll() implements RequestEvent {}
}

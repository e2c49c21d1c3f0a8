package org.galenahinge.slot;

import org.galenahinge.request.Verdict;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.generated.CallStart;

/** What the call controller hears. */
sealed interface CallEvent {
    /** A call came from an entry. */
    record Arrived(WireConnection link, long correlation, CallStart call) implements CallEvent {}

    /** The caller no longer wants an answer. */
    record Cancelled(WireConnection link, long correlation) implements CallEvent {}

    /** A link to an entry went down. */
    record LinkLost(WireConnection link) implements CallEvent {}

    /** An entry asks for a permit. */
    record PermitAsked(WireConnection link, long correlation) implements CallEvent {}

    /** The upstream is done with a call; {@code answer} is kept for repeats when the call may not be repeated. */
    record Ended(long id, Verdict verdict, KeptAnswer answer) implements CallEvent {}

    /** What the upstream may be given changed. */
    record ServingChanged(Serving serving) implements CallEvent {}

    /** The process is to stop; runs {@code drained} once no call is left. */
    record Drain(Runnable drained) implements CallEvent {}
}

package org.galenahinge.slot;

import java.util.Optional;
import org.galenahinge.idempotency.Permit;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.generated.CallStart;

/** A request that waits for the upstream or runs there. It belongs to the thread of the request controller. */
final class ActiveRequest {
    final long id;
    final WireConnection connection;
    final long correlation;
    final RequestReply reply;
    final CallStart content;
    final Optional<Permit> permit;
    final long arrivedNanos;
    long startedNanos;
    Optional<UpstreamRequest> running = Optional.empty();

    ActiveRequest(
            long id, RequestEvent.Arrived arrived, RequestReply reply, Optional<Permit> permit, long arrivedNanos) {
        this.id = id;
        this.connection = arrived.connection();
        this.correlation = arrived.correlation();
        this.reply = reply;
        this.content = arrived.request();
        this.permit = permit;
        this.arrivedNanos = arrivedNanos;
    }

    boolean isFrom(WireConnection otherConnection, long otherCorrelation) {
        return connection.equals(otherConnection) && correlation == otherCorrelation;
    }
}

package org.galenahinge.request;

import com.google.protobuf.ByteString;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.idempotency.Permit;
import org.galenahinge.limit.Priority;

/**
 * A request of a caller. Immutable.
 *
 * @param requestId identifies the request in log lines and in the response
 * @param organisation the organisation that the request is charged to
 * @param priority the priority class
 * @param target the model or service asked for
 * @param path the path at the upstream
 * @param body the body
 * @param streamed whether the response is streamed
 * @param prefixHash the hash of the prompt's prefix, 0 for a plain service
 * @param permit the permit to run at most once, if the caller sent one as its idempotency key
 * @param firstAttempt whether the caller says that it has not sent this request before
 * @param deadlineNanos the deadline for the response, in nanoseconds of {@link System#nanoTime()}
 */
public record Request(
        String requestId,
        String organisation,
        Priority priority,
        Target target,
        String path,
        ByteString body,
        boolean streamed,
        long prefixHash,
        Optional<Permit> permit,
        boolean firstAttempt,
        long deadlineNanos) {
    public Request {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(priority, "priority");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(permit, "permit");
    }
}

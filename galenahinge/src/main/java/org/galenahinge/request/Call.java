package org.galenahinge.request;

import com.google.protobuf.ByteString;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.limit.Priority;
import org.galenahinge.order.Permit;

/**
 * Holds one request of a caller. Immutable.
 *
 * @param requestId its identity, in every log line and in the answer
 * @param organisation who pays for it
 * @param priority its class
 * @param target what it asks for
 * @param path the path at the upstream
 * @param body the body
 * @param streamed whether the answer is to come in pieces
 * @param prefixHash the hash of the prompt's prefix, 0 for a plain service
 * @param permit the permit to run at most once, if it came with one
 * @param firstAttempt whether the caller says that it has never sent this call before
 * @param deadlineNanos when the answer is no longer wanted, in nanoseconds
 */
public record Call(
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
    /** Checks the parts. */
    public Call {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(priority, "priority");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(permit, "permit");
    }
}

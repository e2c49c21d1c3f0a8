package org.galenahinge.gateway;

import java.util.Objects;
import java.util.Optional;

/**
 * What the head of an upstream's answer says to the system.
 *
 * @param requestId the request that it answers
 * @param notRun whether the upstream says that it did not run the request
 * @param signed whether it carries the upstream's signature
 */
public record UpstreamAnswer(Optional<String> requestId, boolean notRun, boolean signed) {
    /** Checks the parts. */
    public UpstreamAnswer {
        Objects.requireNonNull(requestId, "requestId");
    }
}

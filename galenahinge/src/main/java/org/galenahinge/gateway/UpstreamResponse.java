package org.galenahinge.gateway;

import java.util.Objects;
import java.util.Optional;

/**
 * The metadata in the headers of an upstream's response.
 *
 * @param requestId the id of the request that it responds to, if given
 * @param notRun whether the upstream states that it did not run the request
 * @param signed whether it has the upstream's signature
 */
public record UpstreamResponse(Optional<String> requestId, boolean notRun, boolean signed) {
    public UpstreamResponse {
        Objects.requireNonNull(requestId, "requestId");
    }
}

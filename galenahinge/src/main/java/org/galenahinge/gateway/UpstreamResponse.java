package org.galenahinge.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The metadata in the headers of an upstream's response.
 *
 * @param requestId the id of the request that it responds to, if given
 * @param notRun whether the upstream states that it did not run the request
 * @param signed whether it has the upstream's signature
 * @param leaving whether the upstream says that it leaves
 * @param requestLimit how many requests a second the upstream accepts from all nodes together, if it names a limit
 * @param retryAfter for how long the upstream wants no requests, if it says so
 */
public record UpstreamResponse(
        Optional<String> requestId,
        boolean notRun,
        boolean signed,
        boolean leaving,
        OptionalDouble requestLimit,
        Optional<Duration> retryAfter) {
    public UpstreamResponse {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(requestLimit, "requestLimit");
        Objects.requireNonNull(retryAfter, "retryAfter");
    }
}

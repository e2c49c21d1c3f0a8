package org.galenahinge.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the system adds to the caller's headers when it forwards a request to an upstream.
 *
 * @param upstreamId the upstream that the request is for; any other upstream rejects it
 * @param organisation the organisation that sent the request, if known
 * @param remainingTime the time until the deadline of the request
 * @param exactVersion the version of the weights that the upstream must start the request on, if any
 * @param resumeAfter the id of the last event that the caller received, for a stream that is resumed
 */
public record ForwardingHeaders(
        String upstreamId,
        Optional<String> organisation,
        Duration remainingTime,
        OptionalLong exactVersion,
        Optional<String> resumeAfter) {
    public ForwardingHeaders {
        Objects.requireNonNull(upstreamId, "upstreamId");
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(remainingTime, "remainingTime");
        Objects.requireNonNull(exactVersion, "exactVersion");
        Objects.requireNonNull(resumeAfter, "resumeAfter");
    }
}

package org.galenahinge.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the system says to an upstream beside the caller's own words.
 *
 * @param upstreamId the upstream that it is meant for; any other refuses it
 * @param organisation whose request it is
 * @param timeLeft how long an answer is still of use
 * @param exactVersion the version of the weights that it must begin on, where that matters
 * @param resumeAfter the last event that the caller has, for a stream that is continued
 */
public record Forwarding(
        String upstreamId,
        Optional<String> organisation,
        Duration timeLeft,
        OptionalLong exactVersion,
        Optional<String> resumeAfter) {
    /** Checks the parts. */
    public Forwarding {
        Objects.requireNonNull(upstreamId, "upstreamId");
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(timeLeft, "timeLeft");
        Objects.requireNonNull(exactVersion, "exactVersion");
        Objects.requireNonNull(resumeAfter, "resumeAfter");
    }
}

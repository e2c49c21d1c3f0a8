package org.galenahinge.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.placement.PromptShape;

/**
 * What a request's head says to the system.
 *
 * @param requestId identifies the request; empty when it has none
 * @param timeLeft how long its caller waits, where it says so
 * @param key the caller's key
 * @param prompt its size, for a request to a model engine
 */
public record CallHead(
        Optional<String> requestId, Optional<Duration> timeLeft, Optional<String> key, Optional<PromptShape> prompt) {
    /** Checks the parts. */
    public CallHead {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(timeLeft, "timeLeft");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(prompt, "prompt");
    }
}

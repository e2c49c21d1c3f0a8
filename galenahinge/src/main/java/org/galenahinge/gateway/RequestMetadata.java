package org.galenahinge.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.placement.PromptShape;

/**
 * The metadata in the headers of a request.
 *
 * @param requestId identifies the request, if the caller sent an id
 * @param remainingTime how long the caller still waits for the response, if it states this
 * @param apiKey the caller's API key, if it sent one
 * @param prompt the size of the prompt, for a request to a model engine
 */
public record RequestMetadata(
        Optional<String> requestId,
        Optional<Duration> remainingTime,
        Optional<String> apiKey,
        Optional<PromptShape> prompt) {
    public RequestMetadata {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(remainingTime, "remainingTime");
        Objects.requireNonNull(apiKey, "apiKey");
        Objects.requireNonNull(prompt, "prompt");
    }
}

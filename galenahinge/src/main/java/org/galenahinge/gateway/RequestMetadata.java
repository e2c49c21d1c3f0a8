package org.galenahinge.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.placement.PromptShape;
import org.galenahinge.quarantine.RequestTrait;

/**
 * The metadata in the headers of a request.
 *
 * @param requestId identifies the request, if the caller sent an id
 * @param remainingTime how long the caller still waits for the response, if it states this
 * @param apiKey the caller's API key, if it sent one
 * @param prompt the size of the prompt, for a request to a model engine
 * @param sharedParts the parts of the prompt that other requests may contain, in order; empty if the caller names none
 */
public record RequestMetadata(
        Optional<String> requestId,
        Optional<Duration> remainingTime,
        Optional<String> apiKey,
        Optional<PromptShape> prompt,
        List<RequestTrait> sharedParts) {
    public RequestMetadata {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(remainingTime, "remainingTime");
        Objects.requireNonNull(apiKey, "apiKey");
        Objects.requireNonNull(prompt, "prompt");
        sharedParts = List.copyOf(sharedParts);
    }
}

package org.galenahinge.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Objects;

/**
 * The state that a model engine reports. It may be out of date when it is read.
 *
 * @param loadedKey key of the weights that it has loaded, empty if none are complete
 * @param fingerprint fingerprint of these weights, empty if none are complete
 * @param loading whether it is loading weights
 * @param role its role
 * @param fencingNumber the highest fencing number that it has accepted, 0 if it does not check them
 * @param running number of requests that it runs
 * @param capacity maximum number of requests that it runs at once
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EngineState(
        String loadedKey,
        String fingerprint,
        boolean loading,
        String role,
        long fencingNumber,
        int running,
        int capacity) {
    /** Rejects null components. */
    public EngineState {
        Objects.requireNonNull(loadedKey, "loadedKey");
        Objects.requireNonNull(fingerprint, "fingerprint");
        Objects.requireNonNull(role, "role");
    }
}

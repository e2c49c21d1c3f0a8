package org.galenahinge.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Objects;

/**
 * What a model engine says of itself. It may be late.
 *
 * @param loadedKey the name of the weights that it holds, empty when none are whole
 * @param fingerprint their fingerprint, empty when none are whole
 * @param loading whether it is loading
 * @param role its role
 * @param fencingNumber the highest fencing number that it has accepted, 0 when it ignores them
 * @param running requests that it runs
 * @param capacity the most requests that it runs at once
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
    /** Checks the parts. */
    public EngineState {
        Objects.requireNonNull(loadedKey, "loadedKey");
        Objects.requireNonNull(fingerprint, "fingerprint");
        Objects.requireNonNull(role, "role");
    }
}

package org.galenahinge.slot;

import java.util.Objects;

/**
 * Describes which requests the upstream may be given now.
 *
 * @param open whether it may be given any
 * @param target the model or service that it serves, empty when closed
 * @param weightsKey the key of the loaded weights, empty for a plain service
 * @param fingerprint the fingerprint of the loaded weights, empty for a plain service
 * @param idempotent whether requests may be run more than once
 */
public record ServingState(boolean open, String target, String weightsKey, String fingerprint, boolean idempotent) {
    /** The upstream may be given no requests. */
    public static final ServingState CLOSED = new ServingState(false, "", "", "", false);

    /** Checks that no component is null. */
    public ServingState {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(weightsKey, "weightsKey");
        Objects.requireNonNull(fingerprint, "fingerprint");
    }

    static ServingState model(String model, String weightsKey, String fingerprint) {
        return new ServingState(true, model, weightsKey, fingerprint, true);
    }

    static ServingState service(String service, boolean idempotent) {
        return new ServingState(true, service, "", "", idempotent);
    }
}

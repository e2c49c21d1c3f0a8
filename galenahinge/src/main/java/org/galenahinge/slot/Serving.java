package org.galenahinge.slot;

import java.util.Objects;

/**
 * Says what calls the upstream may be given now.
 *
 * @param open whether any
 * @param target the model or service that it serves, empty when closed
 * @param weightsKey the weights that it holds, empty for a plain service
 * @param fingerprint their fingerprint, empty for a plain service
 * @param repeatable whether calls may be run more than once
 */
public record Serving(boolean open, String target, String weightsKey, String fingerprint, boolean repeatable) {
    /** Nothing may be given to the upstream. */
    public static final Serving CLOSED = new Serving(false, "", "", "", false);

    /** Checks the parts. */
    public Serving {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(weightsKey, "weightsKey");
        Objects.requireNonNull(fingerprint, "fingerprint");
    }

    static Serving model(String model, String weightsKey, String fingerprint) {
        return new Serving(true, model, weightsKey, fingerprint, true);
    }

    static Serving service(String service, boolean repeatable) {
        return new Serving(true, service, "", "", repeatable);
    }
}

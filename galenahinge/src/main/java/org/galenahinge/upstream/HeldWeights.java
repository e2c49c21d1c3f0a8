package org.galenahinge.upstream;

import java.util.Objects;

/**
 * The weights that an engine works with.
 *
 * @param model the model's name
 * @param version the version's number
 */
public record HeldWeights(String model, long version) {
    /** Checks the parts. */
    public HeldWeights {
        Objects.requireNonNull(model, "model");
    }
}

package org.galenahinge.upstream;

import java.util.Objects;

/**
 * Identifies the weights of one version of a model.
 *
 * @param model name of the model
 * @param version number of the version
 */
public record WeightsVersion(String model, long version) {
    /** Rejects a missing model. */
    public WeightsVersion {
        Objects.requireNonNull(model, "model");
    }
}

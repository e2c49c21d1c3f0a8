package org.galenahinge.catalog;

import java.util.Objects;
import java.util.Optional;

/**
 * A service that upstreams belong to.
 *
 * @param name its name
 * @param maximumConnections connections that one upstream accepts from all callers together
 * @param engine the figures of its engines, empty for a plain service
 * @param origin where the weights of versions come from, for the service that hands them out
 */
public record Service(
        String name, int maximumConnections, Optional<EngineFigures> engine, Optional<WeightsOrigin> origin) {
    /** Checks the parts. */
    public Service {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(engine, "engine");
        Objects.requireNonNull(origin, "origin");
    }
}

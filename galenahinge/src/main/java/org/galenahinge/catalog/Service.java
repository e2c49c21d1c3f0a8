package org.galenahinge.catalog;

import java.util.Objects;
import java.util.Optional;

/**
 * A service, which any number of upstreams provide.
 *
 * @param name its name
 * @param maximumConnections the maximum number of connections that one upstream accepts from all clients together
 * @param engine the profile of its engines, empty for a service without engines
 * @param origin where its weights come from, present for the service that distributes weights
 */
public record Service(
        String name, int maximumConnections, Optional<EngineProfile> engine, Optional<WeightsOrigin> origin) {
    public Service {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(engine, "engine");
        Objects.requireNonNull(origin, "origin");
    }
}

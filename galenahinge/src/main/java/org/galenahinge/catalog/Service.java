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
 * @param coldStart how its upstreams warm up, empty if they are never cold
 */
public record Service(
        String name,
        int maximumConnections,
        Optional<EngineProfile> engine,
        Optional<WeightsOrigin> origin,
        Optional<ColdStart> coldStart) {
    public Service {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(engine, "engine");
        Objects.requireNonNull(origin, "origin");
        Objects.requireNonNull(coldStart, "coldStart");
    }

    /**
     * Creates a service whose upstreams are never cold.
     *
     * @param name its name
     * @param maximumConnections the maximum number of connections that one upstream accepts from all clients together
     * @param engine the profile of its engines, empty for a service without engines
     * @param origin where its weights come from, present for the service that distributes weights
     */
    public Service(
            String name, int maximumConnections, Optional<EngineProfile> engine, Optional<WeightsOrigin> origin) {
        this(name, maximumConnections, engine, origin, Optional.empty());
    }
}

package org.galenahinge.catalog;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * One version of the operators' configuration. Immutable; of two versions the higher one is in force.
 *
 * @param version the version number
 * @param routes the routes
 * @param services the services by name
 * @param apiKeys the API keys that callers send, and whether they need one
 * @param limits the limits on callers
 */
public record Catalog(
        long version, RouteTable routes, Map<String, Service> services, ApiKeys apiKeys, CallerLimits limits) {
    /** Copies the services. */
    public Catalog {
        Objects.requireNonNull(routes, "routes");
        Objects.requireNonNull(apiKeys, "apiKeys");
        Objects.requireNonNull(limits, "limits");
        services = Map.copyOf(services);
    }

    /**
     * Finds the engine profile of a service.
     *
     * @param service the service's name
     * @return the profile, or empty for a service without engines or an unknown service
     */
    public Optional<EngineProfile> engineProfile(String service) {
        return Optional.ofNullable(services.get(service)).flatMap(Service::engine);
    }

    /**
     * Returns the number of chunks that each version of a model's weights has.
     *
     * @param model the model
     * @return the number, empty if it is not published, or if the services that serve the model publish several
     */
    public OptionalInt weightsChunks(String model) {
        int[] published = services.values().stream()
                .flatMap(service -> service.engine().stream())
                .filter(engine -> engine.models().contains(model))
                .flatMapToInt(engine -> engine.chunks().stream())
                .distinct()
                .toArray();
        return published.length == 1 ? OptionalInt.of(published[0]) : OptionalInt.empty();
    }

    /**
     * Returns the origins that weights are fetched from.
     *
     * @return the origin of each service that has one
     */
    public List<WeightsOrigin> origins() {
        return services.values().stream()
                .flatMap(service -> service.origin().stream())
                .toList();
    }
}

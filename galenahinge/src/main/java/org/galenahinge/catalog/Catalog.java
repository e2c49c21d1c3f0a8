package org.galenahinge.catalog;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The whole configuration in one version. Immutable; two are joined by taking the higher version.
 *
 * @param version its number
 * @param routes the routes
 * @param services the services by name
 * @param organisations the organisations by key; empty when no request needs a key
 * @param limits what callers may send
 */
public record Catalog(
        long version,
        RouteTable routes,
        Map<String, Service> services,
        Map<String, Organisation> organisations,
        CallerLimits limits) {
    /** Checks and copies the parts. */
    public Catalog {
        Objects.requireNonNull(routes, "routes");
        Objects.requireNonNull(limits, "limits");
        services = Map.copyOf(services);
        organisations = Map.copyOf(organisations);
    }

    /**
     * Finds the figures of a service's engines.
     *
     * @param service the service's name
     * @return the figures, or empty for a plain or unknown service
     */
    public Optional<EngineFigures> engineOf(String service) {
        return Optional.ofNullable(services.get(service)).flatMap(Service::engine);
    }

    /**
     * Finds where weights come from.
     *
     * @return the origin of each service that hands out weights
     */
    public List<WeightsOrigin> origins() {
        return services.values().stream()
                .flatMap(service -> service.origin().stream())
                .toList();
    }
}

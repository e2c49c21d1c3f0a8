package org.galenahinge.gateway;

import java.util.Objects;
import java.util.Optional;
import org.galenahinge.catalog.Organisation;
import org.galenahinge.catalog.Route;

/**
 * A request that the configuration allows.
 *
 * @param route its route
 * @param service the service that it goes to
 * @param organisation who sent it, where that is known
 */
record Admitted(Route route, String service, Optional<Organisation> organisation) {
    Admitted {
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(organisation, "organisation");
    }

    /** Its rank, 0 first: the organisation's goes before the route's. */
    int priority() {
        return organisation
                .flatMap(known -> known.priority().isPresent()
                        ? Optional.of(known.priority().getAsInt())
                        : Optional.empty())
                .orElse(route.priority());
    }
}

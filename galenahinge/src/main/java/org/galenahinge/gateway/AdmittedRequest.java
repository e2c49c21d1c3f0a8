package org.galenahinge.gateway;

import java.util.Objects;
import java.util.Optional;
import org.galenahinge.catalog.Organisation;
import org.galenahinge.catalog.Route;

/**
 * A request that passed all checks of the configuration.
 *
 * @param route its route
 * @param service the service that handles it
 * @param organisation the organisation that sent it, if known
 */
record AdmittedRequest(Route route, String service, Optional<Organisation> organisation) {
    AdmittedRequest {
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(organisation, "organisation");
    }

    /** The request's priority, 0 first: the organisation's if it has one, otherwise the route's. */
    int priority() {
        return organisation
                .flatMap(sender -> sender.priority().isPresent()
                        ? Optional.of(sender.priority().getAsInt())
                        : Optional.empty())
                .orElse(route.priority());
    }
}

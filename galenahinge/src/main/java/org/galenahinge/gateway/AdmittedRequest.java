package org.galenahinge.gateway;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.galenahinge.catalog.AllowedRegions;
import org.galenahinge.catalog.Organisation;
import org.galenahinge.catalog.Route;

/**
 * A request that passed all checks of the configuration.
 *
 * @param route its route
 * @param service the service that handles it
 * @param organisation the organisation that sent it, if known
 * @param allowedRegions the regions in which it may be served, those that its route and its organisation both allow
 */
record AdmittedRequest(
        Route route, String service, Optional<Organisation> organisation, AllowedRegions allowedRegions) {
    AdmittedRequest {
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(allowedRegions, "allowedRegions");
    }

    /** Creates the request, which may be served where both its route and its organisation allow it. */
    static AdmittedRequest of(Route route, String service, Optional<Organisation> organisation) {
        AllowedRegions ofRoute = AllowedRegions.listed(route.allowedRegions());
        AllowedRegions ofOrganisation = organisation
                .map(sender -> AllowedRegions.listed(sender.allowedRegions()))
                .orElse(AllowedRegions.any());
        return new AdmittedRequest(route, service, organisation, ofRoute.and(ofOrganisation));
    }

    /** Returns why no upstream may serve the request, with the regions that its route and its organisation allow. */
    String outsideRegionsDetail() {
        Set<String> ofOrganisation =
                organisation.map(Organisation::allowedRegions).orElse(Set.of());
        return "no upstream of the service is in the allowed regions (route: " + text(route.allowedRegions())
                + "; organisation: " + text(ofOrganisation) + ")";
    }

    private static String text(Set<String> regions) {
        return regions.isEmpty() ? "any" : String.join(", ", new TreeSet<>(regions));
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

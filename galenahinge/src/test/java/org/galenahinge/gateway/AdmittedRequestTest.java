package org.galenahinge.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.galenahinge.catalog.AllowedRegions;
import org.galenahinge.catalog.Backend;
import org.galenahinge.catalog.Organisation;
import org.galenahinge.catalog.RequestKind;
import org.galenahinge.catalog.Route;
import org.junit.jupiter.api.Test;

class AdmittedRequestTest {
    /** Guards against a request without a key that gets the regions of an organisation. */
    @Test
    void isBoundByItsRouteAloneWithoutAnOrganisation() {
        AdmittedRequest request = AdmittedRequest.of(route(Set.of("a")), "s", Optional.empty());
        assertThat(request.allowedRegions()).isEqualTo(AllowedRegions.listed(Set.of("a")));
        assertThat(request.outsideRegionsDetail()).contains("route: a;").contains("organisation: any");
    }

    /** Guards against a reason without regions, where the two lists have none in common. */
    @Test
    void namesTheRegionsOfBothListsWhenTheyHaveNoneInCommon() {
        Organisation organisation = new Organisation("o", OptionalInt.empty(), Set.of("c"));
        AdmittedRequest request = AdmittedRequest.of(route(Set.of("b", "a")), "s", Optional.of(organisation));
        assertThat(request.allowedRegions().names()).contains(Set.of());
        assertThat(request.outsideRegionsDetail()).contains("route: a, b;").contains("organisation: c");
    }

    private static Route route(Set<String> regions) {
        return new Route(
                "r",
                "h",
                "/",
                RequestKind.IDEMPOTENT,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                Duration.ZERO,
                0,
                List.of(new Backend("s", 1)),
                1,
                false,
                regions);
    }
}

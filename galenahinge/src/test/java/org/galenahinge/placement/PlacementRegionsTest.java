package org.galenahinge.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.galenahinge.catalog.AllowedRegions;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.wire.WireAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Placement of requests with allowed regions, over two failure domains of region-a and one of region-b. */
class PlacementRegionsTest {
    private static final long NOW = 100_000_000_000L;
    private static final Map<String, String> REGIONS = Map.of("a1", "region-a", "a2", "region-a", "b1", "region-b");

    private final Placement placement =
            Placement.create("a1", () -> 1, (upstream, nowNanos) -> true, Availability.ALL, REGIONS::get, 1);
    private final PlacementCandidate inA1 = plain("in-a1", "a1");
    private final PlacementCandidate inA2 = plain("in-a2", "a2");
    private final PlacementCandidate inB1 = plain("in-b1", "b1");
    private final ServiceUpstreams service = new ServiceUpstreams(List.of(inA1, inA2, inB1), Optional.empty());

    /** Guards against a retry, or a request beyond what its regions can take, that is sent elsewhere. */
    @Test
    void usesOnlyAllowedUpstreamsForRetriesToo() {
        assertThat(placement.choose(service, request("region-a", Set.of("in-a1")), NOW))
                .isInstanceOfSatisfying(
                        PlacementDecision.Chosen.class,
                        chosen -> assertThat(chosen.candidate()).isEqualTo(inA2));
        assertThat(placement.choose(service, request("region-a", Set.of("in-a1", "in-a2")), NOW))
                .isInstanceOf(PlacementDecision.Unavailable.class);
        assertThat(placement.choose(service, request("region-b", Set.of("in-b1")), NOW))
                .isInstanceOf(PlacementDecision.Unavailable.class);
    }

    /** Guards against a request that leaves its regions because they have no free slot. */
    @Test
    void isFullWhenItsRegionsAre() {
        inB1.load().recordSent(new Object(), 0, NOW);
        assertThat(placement.choose(service, request("region-b", Set.of()), NOW))
                .isEqualTo(new PlacementDecision.Full(1));
        assertThat(placement.choose(service, List.of(inA1), request("region-b", Set.of()), NOW))
                .isNotInstanceOf(PlacementDecision.Chosen.class)
                .isNotInstanceOf(PlacementDecision.OutsideRegions.class);
    }

    /** Guards against a request that waits for upstreams that no region of its list has. */
    @ParameterizedTest
    @CsvSource({"region-c", "''"})
    void tellsThatNoUpstreamIsInTheRegions(String region) {
        assertThat(placement.choose(service, request(region, Set.of()), NOW))
                .isInstanceOf(PlacementDecision.OutsideRegions.class);
    }

    /** Guards against a Retry-After time that follows upstreams in regions where the request cannot be served. */
    @ParameterizedTest
    @CsvSource({"region-b, true", "region-a, false"})
    void returnsWhenTheUpstreamsOfItsRegionsDo(String region, boolean isPaused) {
        inB1.load().recordRetryAfter(Duration.ofSeconds(2), 0, NOW);
        AllowedRegions allowed = AllowedRegions.listed(Set.of(region));
        assertThat(placement.returnNanos(service, allowed, NOW).isPresent()).isEqualTo(isPaused);
    }

    private static PlacementRequest request(String region, Set<String> excluded) {
        AllowedRegions allowed = new AllowedRegions(Optional.of(region.isEmpty() ? Set.of() : Set.of(region)));
        return new PlacementRequest(Optional.empty(), excluded, OptionalLong.empty(), false, allowed);
    }

    private static PlacementCandidate plain(String id, String zone) {
        Upstream upstream =
                new Upstream(id, "s", new WireAddress("10.0.0.1", 80), zone, 1, false, Optional.empty(), 0, 1);
        return new PlacementCandidate(upstream, new UpstreamLoad(0));
    }
}

package org.galenahinge.placement;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.galenahinge.catalog.AllowedRegions;

/** Selects upstreams by the region of their failure domain. */
final class UpstreamRegions {
    private final UnaryOperator<String> regionOf;

    /** Creates the selection, given the region of each failure domain. */
    UpstreamRegions(UnaryOperator<String> regionOf) {
        this.regionOf = Objects.requireNonNull(regionOf, "regionOf");
    }

    /** Returns those of some upstreams that are in allowed regions. */
    List<PlacementCandidate> allowed(List<PlacementCandidate> candidates, AllowedRegions allowed) {
        return allowed.isAny()
                ? candidates
                : candidates.stream()
                        .filter(candidate -> allowed.allows(regionOf(candidate)))
                        .toList();
    }

    /** Returns whether one of some upstreams is in an allowed region, or any region is allowed. */
    boolean hasAllowed(List<PlacementCandidate> candidates, AllowedRegions allowed) {
        return allowed.isAny() || candidates.stream().anyMatch(candidate -> allowed.allows(regionOf(candidate)));
    }

    /** Returns the regions of some upstreams. */
    Set<String> of(List<PlacementCandidate> candidates) {
        return candidates.stream().map(this::regionOf).collect(Collectors.toUnmodifiableSet());
    }

    private String regionOf(PlacementCandidate candidate) {
        return regionOf.apply(candidate.upstream().zone());
    }
}

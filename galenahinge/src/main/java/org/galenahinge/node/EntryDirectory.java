package org.galenahinge.node;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.function.UnaryOperator;
import org.galenahinge.catalog.AllowedRegions;

/** Chooses the entries that are named to a caller. Holds no state, so that it may be used on any thread. */
final class EntryDirectory {
    private static final int MINIMUM_IN_FAILURE_DOMAIN = 2;

    private final UnaryOperator<String> regionOf;

    /** Creates the directory, given the region of each failure domain. */
    EntryDirectory(UnaryOperator<String> regionOf) {
        this.regionOf = Objects.requireNonNull(regionOf, "regionOf");
    }

    /**
     * What a caller asks for.
     *
     * @param region its region; if empty, that of its failure domain
     * @param zone its failure domain; may be empty
     * @param maximum the maximum number of entries
     */
    record Query(String region, String zone, int maximum) {
        Query {
            Objects.requireNonNull(region, "region");
            Objects.requireNonNull(zone, "zone");
        }
    }

    /**
     * Chooses the entries for a caller: those of its failure domain, or all when there are fewer than two. For a host whose
     * routes have allowed regions, only entries in these or in the caller's region count, unless none is up there.
     *
     * @param up the entries that may be named
     * @param query what the caller asks for
     * @param ofHost the regions that the routes of the host allow together
     * @return the entries
     */
    List<NodeAddress> choose(Collection<NodeAddress> up, Query query, AllowedRegions ofHost) {
        List<NodeAddress> allowed = ofHost.isAny() ? List.copyOf(up) : allowed(up, query, ofHost);
        List<NodeAddress> candidates = allowed.isEmpty() ? List.copyOf(up) : allowed;
        List<NodeAddress> inZone = candidates.stream()
                .filter(entry -> entry.zone().equals(query.zone()))
                .toList();
        List<NodeAddress> chosen = inZone.size() >= MINIMUM_IN_FAILURE_DOMAIN ? inZone : candidates;
        return chosen.stream().limit(query.maximum()).toList();
    }

    private List<NodeAddress> allowed(Collection<NodeAddress> up, Query query, AllowedRegions ofHost) {
        String callerRegion = query.region().isEmpty() ? regionOf.apply(query.zone()) : query.region();
        return up.stream()
                .filter(entry -> isAllowed(regionOf.apply(entry.zone()), callerRegion, ofHost))
                .toList();
    }

    private static boolean isAllowed(String region, String callerRegion, AllowedRegions ofHost) {
        return region.equals(callerRegion) || ofHost.allows(region);
    }
}
